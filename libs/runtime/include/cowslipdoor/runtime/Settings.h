#pragma once

/// @file
/// @brief Settings from flags and environment variables, validated together.

#include <cowslipdoor/core/Error.h>
#include <cowslipdoor/core/Time.h>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cowslipdoor::runtime {

/// @brief Text that is not empty.
struct TextSetting {
    bool operator==(const TextSetting&) const = default;
};

/// @brief IP address and port.
struct AddressSetting {
    bool operator==(const AddressSetting&) const = default;
};

/// @brief Addresses separated by commas, at least one.
struct AddressListSetting {
    bool operator==(const AddressListSetting&) const = default;
};

/// @brief Unsigned integer within a range.
struct NumberSetting {
    std::uint64_t minimum = 0;
    std::uint64_t maximum = 0;

    bool operator==(const NumberSetting&) const = default;
};

/// @brief Duration within a range, such as 300ms, 2s or 5m.
struct DurationSetting {
    Duration minimum {};
    Duration maximum {};

    bool operator==(const DurationSetting&) const = default;
};

/// @brief Number of processor cores, such as 2 or 0.25.
struct CoresSetting {
    /// Largest number of cores, in thousandths.
    std::uint64_t maximumMilliCores = 0;

    bool operator==(const CoresSetting&) const = default;
};

/// @brief Decimal number within a range, such as 3 or 1.5.
struct DecimalSetting {
    double minimum = 0;
    double maximum = 0;
    /// Whether zero is accepted as well, for a figure that a deployment leaves out.
    bool acceptsZero = false;

    bool operator==(const DecimalSetting&) const = default;
};

/// @brief One of several fixed values.
struct ChoiceSetting {
    std::vector<std::string> choices;

    bool operator==(const ChoiceSetting&) const = default;
};

/// @brief Kind and range of the values that a setting accepts.
using SettingForm = std::variant<TextSetting, AddressSetting, AddressListSetting, NumberSetting, DurationSetting, CoresSetting, DecimalSetting, ChoiceSetting>;

/// @brief One setting of a program.
struct SettingSpec {
    /// Name of the flag without leading dashes; environmentName() gives the environment variable.
    std::string name;
    SettingForm form;
    /// Default as text; nothing if the setting is required.
    std::optional<std::string> fallback;
    std::string help;

    bool operator==(const SettingSpec&) const = default;
};

/// @brief Error that lists all invalid settings, one per line.
class SettingsError : public Error {
public:
    /// @param faults one message for each invalid setting
    explicit SettingsError(const std::vector<std::string>& faults);
};

/// @brief Validated values of the settings.
class Settings {
public:
    /// @param values valid texts by name of the setting
    explicit Settings(std::map<std::string, std::string> values);

    /// @param name name of any setting
    /// @return its value as text
    [[nodiscard]] const std::string& text(const std::string& name) const;

    /// @param name name of a NumberSetting
    /// @return its value
    [[nodiscard]] std::uint64_t number(const std::string& name) const;

    /// @param name name of a CoresSetting
    /// @return its value in thousandths of a core
    [[nodiscard]] std::uint64_t milliCores(const std::string& name) const;

    /// @param name name of a DecimalSetting
    /// @return its value
    [[nodiscard]] double decimal(const std::string& name) const;

    /// @param name name of a DurationSetting
    /// @return its value
    [[nodiscard]] Duration duration(const std::string& name) const;

private:
    std::map<std::string, std::string> values;
};

/// @brief Looks up an environment variable; returns nothing if it is not set.
using EnvironmentLookup = std::function<std::optional<std::string>(const std::string&)>;

/// @brief Looks up a variable in the environment of the process.
/// @param name name of the variable
/// @return its value, or nothing if it is not set
[[nodiscard]] std::optional<std::string> processEnvironment(const std::string& name);

/// @brief Returns the name of the environment variable of a setting.
/// @param setting name of the flag without leading dashes
/// @return for example COWSLIPDOOR_LINK_LISTEN for link-listen
[[nodiscard]] std::string environmentName(const std::string& setting);

/// @brief Parsed command line; without settings if help or the version is wanted.
struct CommandLine {
    Settings settings;
    /// Arguments that are not flags.
    std::vector<std::string> operands;
    bool helpWanted = false;
    bool versionWanted = false;
};

/// @brief Parses flags and environment variables and validates every value. A flag overrides the variable.
/// @param specs settings of the program
/// @param arguments the command line without the program's name
/// @param environment source of environment variables
/// @return the parsed command line
/// @throws SettingsError that names each invalid setting, its value and the accepted values
/// @code
/// const CommandLine line = readCommandLine(specs, arguments, processEnvironment);
/// @endcode
[[nodiscard]] CommandLine readCommandLine(const std::vector<SettingSpec>& specs, const std::vector<std::string>& arguments, const EnvironmentLookup& environment);

/// @brief Describes the settings for --help.
/// @param specs settings of the program
/// @return lines with flag, meaning, accepted values, default and environment variable
[[nodiscard]] std::string describeSettings(const std::vector<SettingSpec>& specs);

/// @brief Parses a duration such as 300ms, 2s, 5m or 1h.
/// @return the duration, or nothing if the text is malformed
[[nodiscard]] std::optional<Duration> parseDuration(std::string_view text) noexcept;

}
