#include "AgentProcess.h"
#include "JobsAgentProcess.h"
#include "Settings.h"
#include <cowslipdoor/runtime/Process.h>
#include <iostream>

namespace {

constexpr std::string_view intro = "cowslipdoor-agent: runs beside one upstream and is the only authority over its VM's capacity.\n\n"
                                   "usage: cowslipdoor-agent --name NAME --failure-domain DOMAIN --admin-listen IP:PORT --entries IP:PORT,...\n\n"
                                   "       cowslipdoor-agent jobs --name NAME --failure-domain DOMAIN --admin-listen IP:PORT --worker IP:PORT\n"
                                   "           --registry-listen IP:PORT --link-listen IP:PORT --store IP:PORT\n\n"
                                   "With jobs it runs tasks of jobs on its worker; cowslipdoor-agent jobs --help lists those settings.\n"
                                   "The upstream announces itself by POST /announce at the admin address.\n\n"
                                   "settings (a flag overrides its environment variable):\n";

int runJobsAgent(const std::vector<std::string>& arguments)
{
    const std::vector<cowslipdoor::runtime::SettingSpec> specs = cowslipdoor::agent::jobsAgentSettings();
    const cowslipdoor::runtime::CommandLine line = cowslipdoor::runtime::readCommandLine(specs, arguments, cowslipdoor::runtime::processEnvironment);
    if (line.helpWanted) {
        std::cout << intro << cowslipdoor::runtime::describeSettings(specs);
        return 0;
    }
    if (!line.operands.empty())
        throw cowslipdoor::runtime::SettingsError({ line.operands.front() + ": no such operand; --help lists all settings" });
    return cowslipdoor::agent::JobsAgentProcess(line.settings).run();
}

int runAgent(const std::vector<std::string>& arguments)
{
    if (!arguments.empty() && arguments.front() == "jobs")
        return runJobsAgent({ arguments.begin() + 1, arguments.end() });

    const std::vector<cowslipdoor::runtime::SettingSpec> specs = cowslipdoor::agent::agentSettings();
    const cowslipdoor::runtime::CommandLine line = cowslipdoor::runtime::readCommandLine(specs, arguments, cowslipdoor::runtime::processEnvironment);
    if (line.versionWanted) {
        std::cout << "cowslipdoor-agent " << COWSLIPDOOR_VERSION << "\n";
        return 0;
    }
    if (line.helpWanted) {
        std::cout << intro << cowslipdoor::runtime::describeSettings(specs);
        return 0;
    }
    if (!line.operands.empty())
        throw cowslipdoor::runtime::SettingsError({ line.operands.front() + ": no such operand; --help lists all settings" });
    return cowslipdoor::agent::AgentProcess(line.settings).run();
}

}

int main(int count, char** words)
{
    const std::vector<std::string> arguments(words + 1, words + count);
    return cowslipdoor::runtime::guardedMain("cowslipdoor-agent", [&arguments]() { return runAgent(arguments); });
}
