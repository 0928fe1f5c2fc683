#pragma once

/// @file
/// @brief Settings from flags and environment variables, checked all at once.

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

/// @brief Any text.
struct TextSetting {
    bool operator==(const TextSetting&) const = default;
};

/// @brief IP number and port.
struct AddressSetting {
    bool operator==(const AddressSetting&) const = default;
};

/// @brief Addresses with commas between them.
struct AddressListSetting {
    bool operator==(const AddressListSetting&) const = default;
};

/// @brief Whole number.
struct NumberSetting {
    std::uint64_t minimum = 0;
    std::uint64_t maximum = 0;

    bool operator==(const NumberSetting&) const = default;
};

/// @brief Duration such as 300ms, 2s or 5m.
struct DurationSetting {
    Duration minimum {};
    Duration maximum {};

    bool operator==(const DurationSetting&) const = default;
};

/// @brief Processor cores such as 2 or 0.25.
struct CoresSetting {
    /// Largest number of cores, in thousandths.
    std::uint64_t maximumMilliCores = 0;

    bool operator==(const CoresSetting&) const = default;
};

/// @brief One of several words.
struct ChoiceSetting {
    std::vector<std::string> choices;

    bool operator==(const ChoiceSetting&) const = default;
};

/// @brief What values a setting takes.
using SettingForm = std::variant<TextSetting, AddressSetting, AddressListSetting, NumberSetting, DurationSetting, CoresSetting, ChoiceSetting>;

/// @brief One setting of a program.
struct SettingSpec {
    /// Name of the flag without dashes; the environment variable is COWSLIPDOOR_ and the name in capitals.
    std::string name;
    SettingForm form;
    /// Default as text; nothing means that the setting must be given.
    std::optional<std::string> fallback;
    std::string help;

    bool operator==(const SettingSpec&) const = default;
};

/// @brief All faults of the settings, one a line.
class SettingsError : public Error {
public:
    /// @param faults what is wrong, one text for each setting
    explicit SettingsError(const std::vector<std::string>& faults);
};

/// @brief Checked values of the settings.
class Settings {
public:
    /// @param values checked texts by name
    explicit Settings(std::map<std::string, std::string> values);

    /// @param name a setting of the program
    /// @return its text
    [[nodiscard]] const std::string& text(const std::string& name) const;

    /// @param name a NumberSetting
    /// @return its value
    [[nodiscard]] std::uint64_t number(const std::string& name) const;

    /// @param name a CoresSetting
    /// @return its value in thousandths of a core
    [[nodiscard]] std::uint64_t milliCores(const std::string& name) const;

    /// @param name a DurationSetting
    /// @return its value
    [[nodiscard]] Duration duration(const std::string& name) const;

private:
    std::map<std::string, std::string> values;
};

/// @brief Looks up an environment variable; nothing when it is not set.
using EnvironmentLookup = std::function<std::optional<std::string>(const std::string&)>;

/// @brief Reads the environment of the process.
/// @param name the variable
/// @return its value, or nothing
[[nodiscard]] std::optional<std::string> processEnvironment(const std::string& name);

/// @brief Name of the environment variable of a setting.
/// @param setting name of the flag
/// @return for example COWSLIPDOOR_LINK_LISTEN for link-listen
[[nodiscard]] std::string environmentName(const std::string& setting);

/// @brief What a command line asks for.
struct CommandLine {
    Settings settings;
    /// Words that are not flags.
    std::vector<std::string> operands;
    bool helpWanted = false;
    bool versionWanted = false;
};

/// @brief Reads flags (which win) and environment variables, and checks every value.
/// @param specs settings of the program
/// @param arguments the command line without the program's name
/// @param environment source of environment variables
/// @return the settings
/// @throws SettingsError that names each bad setting, its value and what is accepted
/// @code
/// const CommandLine line = readCommandLine(specs, arguments, processEnvironment);
/// @endcode
[[nodiscard]] CommandLine readCommandLine(const std::vector<SettingSpec>& specs, const std::vector<std::string>& arguments, const EnvironmentLookup& environment);

/// @brief Writes the settings for --help.
/// @param specs settings of the program
/// @return lines with flag, form, default, variable and meaning
[[nodiscard]] std::string describeSettings(const std::vector<SettingSpec>& specs);

/// @brief Reads a duration such as 300ms, 2s, 5m or 1h.
/// @param text the duration
/// @return its value, or nothing when the text has another form
[[nodiscard]] std::optional<Duration> parseDuration(std::string_view text) noexcept;

}
