#include <catch2/catch.hpp>
#include <cowslipdoor/runtime/Settings.h>

using namespace cowslipdoor;
using namespace cowslipdoor::runtime;

namespace {

const std::vector<SettingSpec> specs {
    { "name", TextSetting {}, std::nullopt, "Name." },
    { "listen", AddressSetting {}, std::nullopt, "Address." },
    { "links", NumberSetting { 1, 64 }, "4", "Links." },
    { "drain-limit", DurationSetting { std::chrono::seconds(1), std::chrono::minutes(1) }, "30s", "Limit." },
    { "cores", CoresSetting { 64'000 }, "1", "Cores." },
    { "factor", DecimalSetting { 1, 100, true }, "1", "Factor." },
    { "form", ChoiceSetting { { "text", "json" } }, "text", "Form." },
};

EnvironmentLookup environmentOf(const std::map<std::string, std::string>& variables)
{
    return [variables](const std::string& name) {
        const std::map<std::string, std::string>::const_iterator it = variables.find(name);
        return it == variables.end() ? std::nullopt : std::optional<std::string>(it->second);
    };
}

}

TEST_CASE("settings: a flag overrides its variable, which overrides the default", "[settings]")
{
    const EnvironmentLookup environment = environmentOf({ { "COWSLIPDOOR_NAME", "from-variable" }, { "COWSLIPDOOR_LINKS", "7" }, { "COWSLIPDOOR_LISTEN", "[::1]:80" } });
    const CommandLine line = readCommandLine(specs, { "--name", "from-flag", "--drain-limit=5s", "operand" }, environment);
    CHECK(line.settings.text("name") == "from-flag");
    CHECK(line.settings.number("links") == 7);
    CHECK(line.settings.duration("drain-limit") == std::chrono::seconds(5));
    CHECK(line.settings.text("form") == "text");
    CHECK(line.operands == std::vector<std::string> { "operand" });
}

TEST_CASE("settings: all invalid settings are reported together, with value and accepted values", "[settings]")
{
    try {
        (void)readCommandLine(specs, { "--links=65", "--form", "xml", "--colour" }, environmentOf({ { "COWSLIPDOOR_DRAIN_LIMIT", "2h" } }));
        FAIL("nothing was refused");
    } catch (const SettingsError& error) {
        const std::string text = error.what();
        CHECK(error.kind() == ErrorKind::BadSetting);
        CHECK(text.find("--links: '65' is not accepted; accepted is a whole number from 1 to 64") != std::string::npos);
        CHECK(text.find("--form: 'xml' is not accepted; accepted is text or json") != std::string::npos);
        CHECK(text.find("COWSLIPDOOR_DRAIN_LIMIT: '2h' is not accepted") != std::string::npos);
        CHECK(text.find("--name (or COWSLIPDOOR_NAME) must be given") != std::string::npos);
        CHECK(text.find("--listen (or COWSLIPDOOR_LISTEN) must be given") != std::string::npos);
        CHECK(text.find("--colour: no such flag") != std::string::npos);
    }
}

TEST_CASE("settings: cores are fractions of a core or whole cores", "[settings]")
{
    const auto coresOf = [](const std::string& value) {
        return readCommandLine(specs, { "--name=n", "--listen=[::1]:80", "--cores=" + value }, environmentOf({})).settings.milliCores("cores");
    };
    CHECK(coresOf("0.069") == 69);
    CHECK(coresOf("64") == 64'000);
    for (const std::string refused : { "", "0", "-1", "64.1", "1,5", "1e3", "nan", "inf", "0.0001" }) {
        INFO(refused);
        CHECK_THROWS_AS(coresOf(refused), SettingsError);
    }
}

TEST_CASE("settings: help and version need no settings", "[settings]")
{
    CHECK(readCommandLine(specs, { "--help" }, environmentOf({})).helpWanted);
    CHECK(readCommandLine(specs, { "--version" }, environmentOf({})).versionWanted);
    CHECK(describeSettings(specs).find("COWSLIPDOOR_DRAIN_LIMIT") != std::string::npos);
}

TEST_CASE("settings: durations have a unit", "[settings]")
{
    CHECK(parseDuration("300ms") == std::chrono::milliseconds(300));
    CHECK(parseDuration("2h") == std::chrono::hours(2));
    CHECK(parseDuration("5") == std::nullopt);
    CHECK(parseDuration("-5s") == std::nullopt);
    CHECK(parseDuration("5 s") == std::nullopt);
}

TEST_CASE("settings: operands are the same before, between and after flags", "[settings]")
{
    const std::vector<SettingSpec> specs { { "name", TextSetting {}, std::nullopt, "" } };
    const EnvironmentLookup none = [](const std::string&) { return std::optional<std::string>(); };
    for (const std::vector<std::string>& arguments : { std::vector<std::string> { "a", "b", "--name", "x" }, { "--name", "x", "a", "b" }, { "a", "--name", "x", "b" } }) {
        const CommandLine line = readCommandLine(specs, arguments, none);
        CHECK(line.operands == std::vector<std::string> { "a", "b" });
        CHECK(line.settings.text("name") == "x");
    }
}

TEST_CASE("settings: a decimal may have a leading zero, as deployments put one before a figure that may be absent", "[settings]")
{
    const auto factorOf = [](const std::string& value) {
        return readCommandLine(specs, { "--name=n", "--listen=[::1]:80", "--factor=" + value }, environmentOf({})).settings.decimal("factor");
    };
    CHECK(factorOf("01.5") == 1.5);
    CHECK(factorOf("03") == 3);
    CHECK(factorOf("0100") == 100);
    CHECK(factorOf("0") == 0);
    for (const char* const wrong : { "", "0.5", "100.1", "-2", "2x", "nan", "inf", "1e1" })
        CHECK_THROWS_AS(factorOf(wrong), SettingsError);
}
