#include "JobSoak.h"
#include "RequestSoak.h"
#include <cowslipdoor/runtime/Process.h>
#include <filesystem>
#include <iostream>

namespace {

using namespace cowslipdoor;
using namespace cowslipdoor::runtime;
using namespace cowslipdoor::soak;

std::vector<SettingSpec> soakSettings()
{
    return {
        { "seed", NumberSetting { 0, 1'000'000'000 }, "1", "Seed of the first soak." },
        { "soaks", NumberSetting { 1, 10'000 }, "1", "Number of soaks, each with the next seed." },
        { "length", DurationSetting { std::chrono::seconds(1), std::chrono::hours(1) }, "20s", "Time during which each soak injects faults." },
        { "entries", NumberSetting { 1, 20 }, "2", "Entries of each deployment." },
        { "agents", NumberSetting { 1, 120 }, "3", "Agents of each deployment, each with an upstream or a worker." },
        { "kind", ChoiceSetting { { "requests", "jobs", "both" } }, "both", "Kind of work that the deployments run." },
    };
}

/// Runs one soak and prints its result; keeps its folder when a guarantee was violated.
template <typename Soak>
bool runOneSoak(const std::string& kind, const SoakSize& size)
{
    const std::filesystem::path folder = std::filesystem::temp_directory_path() / ("cowslipdoor-soak-" + std::to_string(::getpid()) + "-" + kind + "-" + std::to_string(size.seed));
    std::filesystem::create_directories(folder);
    SoakReport report;
    try {
        report = Soak(size, folder.string()).run();
    } catch (const std::exception& error) {
        report.add(error.what());
    }
    std::cout << "soak: " << kind << " seed " << size.seed << ": " << report.faults << " faults, " << report.checked << " checked, " << report.violations.size() << " violations" << std::endl;
    for (const std::string& line : report.violations)
        std::cout << "soak:   " << line << std::endl;
    if (report.violations.empty())
        std::filesystem::remove_all(folder);
    else
        std::cout << "soak:   logs and fault log are in " << folder.string() << std::endl;
    return report.violations.empty();
}

int runSoaks(const std::vector<std::string>& arguments)
{
    const CommandLine line = readCommandLine(soakSettings(), arguments, processEnvironment);
    if (line.helpWanted) {
        std::cout << "soak: runs real programs on loopback under random faults drawn from a seed\n\n"
                  << describeSettings(soakSettings());
        return 0;
    }
    const std::string kind = line.settings.text("kind");
    SoakSize size { .seed = line.settings.number("seed"), .entries = line.settings.number("entries"), .agents = line.settings.number("agents"), .length = line.settings.duration("length") };
    std::uint64_t failedSoaks = 0;
    for (const std::uint64_t end = size.seed + line.settings.number("soaks"); size.seed < end; ++size.seed) {
        if (kind != "jobs" && !runOneSoak<RequestSoak>("requests", size))
            ++failedSoaks;
        if (kind != "requests" && !runOneSoak<JobSoak>("jobs", size))
            ++failedSoaks;
    }
    std::cout << "soak: " << failedSoaks << " soaks with violations" << std::endl;
    return failedSoaks == 0 ? 0 : exitFailure;
}

}

int main(int count, char** words)
{
    const std::vector<std::string> arguments(words + 1, words + count);
    return guardedMain("soak", [&arguments]() { return runSoaks(arguments); });
}
