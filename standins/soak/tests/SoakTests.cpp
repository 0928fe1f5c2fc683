#include "JobSoak.h"
#include "RequestSoak.h"
#include <catch2/catch.hpp>
#include <filesystem>

using namespace cowslipdoor;
using namespace cowslipdoor::soak;

namespace {

std::string folderOf(const std::string& name)
{
    const std::filesystem::path folder = std::filesystem::temp_directory_path() / ("cowslipdoor-soak-test-" + std::to_string(::getpid()) + "-" + name);
    std::filesystem::create_directories(folder);
    return folder.string();
}

/// Checks that a soak found no violation, and then removes its folder.
void expectNoViolations(const SoakReport& report, const std::string& folder)
{
    INFO("logs and fault log are in " << folder);
    for (const std::string& line : report.violations)
        UNSCOPED_INFO(line);
    CHECK(report.violations.empty());
    CHECK(report.faults > 5);
    CHECK(report.checked > 10);
    if (report.violations.empty())
        std::filesystem::remove_all(folder);
}

}

TEST_CASE("soak: requests keep their promises under a short series of faults", "[soak][system]")
{
    const std::string folder = folderOf("requests");
    expectNoViolations(RequestSoak({ .seed = 1, .length = std::chrono::seconds(8) }, folder).run(), folder);
}

TEST_CASE("soak: jobs keep their promises under a short series of faults", "[soak][system]")
{
    const std::string folder = folderOf("jobs");
    expectNoViolations(JobSoak({ .seed = 1, .length = std::chrono::seconds(8) }, folder).run(), folder);
}
