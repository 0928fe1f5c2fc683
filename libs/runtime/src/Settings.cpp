#include "cowslipdoor/runtime/Settings.h"
#include "cowslipdoor/runtime/Address.h"
#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <getopt.h>
#include <sstream>
#include <utility>

namespace cowslipdoor::runtime {

namespace {

    constexpr int helpCode = 1000;
    constexpr int versionCode = 1001;
    constexpr int firstSettingCode = 2000;
    /// More cores than any VM has; keeps the number of thousandths within its type.
    constexpr double maximumCores = 1e6;

    std::string joined(const std::vector<std::string>& parts, std::string_view separator)
    {
        std::string text;
        for (const std::string& part : parts)
            text += (text.empty() ? "" : std::string(separator)) + part;
        return text;
    }

    std::string printDuration(Duration duration)
    {
        return std::to_string(toMilliseconds(duration)) + "ms";
    }

    std::optional<std::uint64_t> parseNumber(std::string_view text) noexcept
    {
        std::uint64_t value = 0;
        const std::from_chars_result result = std::from_chars(text.data(), text.data() + text.size(), value);
        if (result.ec != std::errc() || result.ptr != text.data() + text.size())
            return std::nullopt;
        return value;
    }

    std::optional<double> parseDecimal(std::string_view text) noexcept
    {
        double value = 0;
        const std::from_chars_result result = std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
        if (result.ec != std::errc() || result.ptr != text.data() + text.size() || !std::isfinite(value))
            return std::nullopt;
        return value;
    }

    std::string printDecimal(double value)
    {
        std::ostringstream text;
        text << value;
        return text.str();
    }

    /// Parses a number of cores into thousandths of a core, at least one.
    std::optional<std::uint64_t> parseCores(std::string_view text) noexcept
    {
        const std::optional<double> cores = parseDecimal(text);
        if (!cores || *cores < 0.001 || *cores > maximumCores)
            return std::nullopt;
        return static_cast<std::uint64_t>(std::llround(*cores * 1000));
    }

    struct AcceptedValues {
        std::string operator()(const TextSetting&) const { return "a non-empty text"; }
        std::string operator()(const AddressSetting&) const { return "IP:PORT, with [] around an IPv6 address"; }
        std::string operator()(const AddressListSetting&) const { return "IP:PORT[,IP:PORT...], with [] around an IPv6 address"; }
        std::string operator()(const NumberSetting& form) const
        {
            return "a whole number from " + std::to_string(form.minimum) + " to " + std::to_string(form.maximum);
        }
        std::string operator()(const DurationSetting& form) const
        {
            return "a duration such as 300ms, 2s or 5m, from " + printDuration(form.minimum) + " to " + printDuration(form.maximum);
        }
        std::string operator()(const CoresSetting& form) const { return "cores such as 2 or 0.25, up to " + std::to_string(form.maximumMilliCores / 1000); }
        std::string operator()(const DecimalSetting& form) const
        {
            return "a decimal number from " + printDecimal(form.minimum) + " to " + printDecimal(form.maximum) + (form.acceptsZero ? ", or 0 for the default" : "");
        }
        std::string operator()(const ChoiceSetting& form) const { return joined(form.choices, " or "); }
    };

    struct IsAccepted {
        const std::string& value;

        bool operator()(const TextSetting&) const { return !this->value.empty(); }
        bool operator()(const AddressSetting&) const { return this->isAddress(); }
        bool operator()(const AddressListSetting&) const
        {
            try {
                return !parseAddressList(this->value).empty();
            } catch (const Error&) {
                return false;
            }
        }
        bool operator()(const NumberSetting& form) const
        {
            const std::optional<std::uint64_t> number = parseNumber(this->value);
            return number && *number >= form.minimum && *number <= form.maximum;
        }
        bool operator()(const DurationSetting& form) const
        {
            const std::optional<Duration> duration = parseDuration(this->value);
            return duration && *duration >= form.minimum && *duration <= form.maximum;
        }
        bool operator()(const CoresSetting& form) const
        {
            const std::optional<std::uint64_t> milliCores = parseCores(this->value);
            return milliCores && *milliCores <= form.maximumMilliCores;
        }
        bool operator()(const DecimalSetting& form) const
        {
            const std::optional<double> decimal = parseDecimal(this->value);
            return decimal && ((form.acceptsZero && *decimal == 0) || (*decimal >= form.minimum && *decimal <= form.maximum));
        }
        bool operator()(const ChoiceSetting& form) const
        {
            return std::find(form.choices.begin(), form.choices.end(), this->value) != form.choices.end();
        }

    private:
        [[nodiscard]] bool isAddress() const
        {
            try {
                (void)parseAddress(this->value);
                return true;
            } catch (const Error&) {
                return false;
            }
        }
    };

    std::string describeRefusal(const std::string& source, const std::string& value, const std::string& accepted)
    {
        std::string text = source;
        text.append(": '").append(value).append("' is not accepted; accepted is ").append(accepted);
        return text;
    }

    std::string describeMissing(const std::string& flag, const std::string& variable, const std::string& accepted)
    {
        std::string text = flag;
        text.append(" (or ").append(variable).append(") must be given; accepted is ").append(accepted);
        return text;
    }

    using GivenValues = std::map<std::string, std::string>;

    struct Flags {
        GivenValues given;
        std::vector<std::string> operands;
        std::vector<std::string> faults;
        bool help = false;
        bool version = false;
    };

    std::vector<option> longOptions(const std::vector<SettingSpec>& specs)
    {
        std::vector<option> options;
        options.push_back({ "help", no_argument, nullptr, helpCode });
        options.push_back({ "version", no_argument, nullptr, versionCode });
        int code = firstSettingCode;
        for (const SettingSpec& spec : specs)
            options.push_back({ spec.name.c_str(), required_argument, nullptr, code++ });
        options.push_back({ nullptr, 0, nullptr, 0 });
        return options;
    }

    Flags readFlags(const std::vector<SettingSpec>& specs, const std::vector<std::string>& arguments)
    {
        Flags flags;
        std::vector<std::string> copies { "program" };
        copies.insert(copies.end(), arguments.begin(), arguments.end());
        std::vector<char*> pointers;
        pointers.reserve(copies.size() + 1);
        for (std::string& copy : copies)
            pointers.push_back(copy.data());
        pointers.push_back(nullptr);
        const std::vector<option> options = longOptions(specs);
        const int count = static_cast<int>(copies.size());
        optind = 0;
        opterr = 0;
        for (int code = 0; (code = getopt_long(count, pointers.data(), ":", options.data(), nullptr)) != -1;) {
            if (code == helpCode)
                flags.help = true;
            else if (code == versionCode)
                flags.version = true;
            else if (code == ':')
                flags.faults.push_back(std::string(pointers[static_cast<std::size_t>(optind - 1)]) + ": needs a value");
            else if (code == '?')
                flags.faults.push_back(std::string(pointers[static_cast<std::size_t>(optind - 1)]) + ": no such flag; --help lists all");
            else
                flags.given[specs[static_cast<std::size_t>(code - firstSettingCode)].name] = optarg;
        }
        for (int index = optind; index < count; ++index)
            flags.operands.emplace_back(pointers[static_cast<std::size_t>(index)]);
        return flags;
    }

}

SettingsError::SettingsError(const std::vector<std::string>& faults)
    : Error(ErrorKind::BadSetting, joined(faults, "\n"))
{
}

Settings::Settings(std::map<std::string, std::string> values)
    : values(std::move(values))
{
}

const std::string& Settings::text(const std::string& name) const
{
    return this->values.at(name);
}

std::uint64_t Settings::number(const std::string& name) const
{
    return parseNumber(this->text(name)).value();
}

std::uint64_t Settings::milliCores(const std::string& name) const
{
    return parseCores(this->text(name)).value();
}

double Settings::decimal(const std::string& name) const
{
    return parseDecimal(this->text(name)).value();
}

Duration Settings::duration(const std::string& name) const
{
    return parseDuration(this->text(name)).value();
}

std::optional<std::string> processEnvironment(const std::string& name)
{
    const char* const value = std::getenv(name.c_str());
    return value ? std::optional<std::string>(value) : std::nullopt;
}

std::string environmentName(const std::string& setting)
{
    std::string name = "COWSLIPDOOR_" + setting;
    std::transform(name.begin(), name.end(), name.begin(), [](char character) {
        return character == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(character)));
    });
    return name;
}

CommandLine readCommandLine(const std::vector<SettingSpec>& specs, const std::vector<std::string>& arguments, const EnvironmentLookup& environment)
{
    const Flags flags = readFlags(specs, arguments);
    if (flags.help || flags.version)
        return { Settings({}), flags.operands, flags.help, flags.version };
    std::vector<std::string> faults = flags.faults;
    std::map<std::string, std::string> values;
    for (const SettingSpec& spec : specs) {
        const GivenValues::const_iterator flag = flags.given.find(spec.name);
        const std::string variable = environmentName(spec.name);
        const bool fromFlag = flag != flags.given.end();
        const std::optional<std::string> given = fromFlag ? std::optional<std::string>(flag->second) : environment(variable);
        const std::string accepted = std::visit(AcceptedValues {}, spec.form);
        if (given && !std::visit(IsAccepted { *given }, spec.form))
            faults.push_back(describeRefusal(fromFlag ? "--" + spec.name : variable, *given, accepted));
        else if (!given && !spec.fallback)
            faults.push_back(describeMissing("--" + spec.name, variable, accepted));
        else
            values[spec.name] = given ? *given : *spec.fallback;
    }
    if (!faults.empty())
        throw SettingsError(faults);
    return { Settings(std::move(values)), flags.operands, false, false };
}

std::string describeSettings(const std::vector<SettingSpec>& specs)
{
    std::ostringstream text;
    for (const SettingSpec& spec : specs) {
        text << "  --" << spec.name << " VALUE\n      " << spec.help << "\n      accepted: " << std::visit(AcceptedValues {}, spec.form);
        if (spec.fallback)
            text << "; default: " << (spec.fallback->empty() ? "none" : *spec.fallback);
        else
            text << "; must be given";
        text << "; variable: " << environmentName(spec.name) << "\n";
    }
    return text.str();
}

std::optional<Duration> parseDuration(std::string_view text) noexcept
{
    constexpr std::array<std::pair<std::string_view, Duration>, 4> units { {
        { "ms", std::chrono::milliseconds(1) },
        { "s", std::chrono::seconds(1) },
        { "m", std::chrono::minutes(1) },
        { "h", std::chrono::hours(1) },
    } };
    std::uint32_t count = 0;
    const std::from_chars_result result = std::from_chars(text.data(), text.data() + text.size(), count);
    const std::string_view suffix(result.ptr, static_cast<std::size_t>(text.data() + text.size() - result.ptr));
    for (const std::pair<std::string_view, Duration>& unit : units) {
        if (result.ec == std::errc() && suffix == unit.first)
            return count * unit.second;
    }
    return std::nullopt;
}

}
