#include "Bench.h"
#include "Deployment.h"
#include <cowslipdoor/runtime/HttpClient.h>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace cowslipdoor::bench {

namespace {

    constexpr std::chrono::seconds window { 6 };

    const std::string rules = "version 1\nrule quick path=/quick* class=quick # bench: control at rest\n";

    struct Usage {
        double controlBytes = 0;
        double processorSeconds = 0;
        double memoryMb = 0;
    };

    double controlBytesAt(const std::string& admin)
    {
        const Response response = runtime::fetch({ .address = admin, .target = "/metrics" });
        const std::string_view page = response.body.view();
        const std::string name = "\ncowslipdoor_control_bytes_total ";
        const std::size_t at = page.find(name);
        return at == std::string_view::npos ? 0 : std::stod(std::string(page.substr(at + name.size(), 30)));
    }

    double processorSecondsOf(pid_t pid)
    {
        std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
        std::string text;
        std::getline(file, text);
        std::istringstream fields(text.substr(text.rfind(')') + 2));
        std::string skipped;
        for (int field = 0; field < 11; ++field)
            fields >> skipped;
        double user = 0;
        double system = 0;
        fields >> user >> system;
        return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
    }

    double memoryMbOf(pid_t pid)
    {
        std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
        double total = 0;
        double resident = 0;
        file >> total >> resident;
        return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / (1024 * 1024);
    }

    Usage usageOf(const std::string& admin, pid_t pid)
    {
        return { controlBytesAt(admin), processorSecondsOf(pid), memoryMbOf(pid) };
    }

    void print(const std::string& who, const Usage& before, const Usage& after)
    {
        const double seconds = std::chrono::duration<double>(window).count();
        std::cout << std::setprecision(0) << who << " sends " << (after.controlBytes - before.controlBytes) / seconds << " B/s" << std::setprecision(2) << ", uses "
                  << 100 * (after.processorSeconds - before.processorSeconds) / seconds << "% of a core, " << std::setprecision(1) << after.memoryMb << " MB";
    }

}

void runControlBench(const std::string& folder)
{
    std::cout << "idle control traffic (1 entry; agents without load)\n"
              << std::fixed;
    for (const std::size_t agents : { 1U, 10U, 40U, 120U }) {
        standins::Deployment deployment({ .agents = agents, .entries = 1, .rules = rules, .folder = folder + "-" + std::to_string(agents) });
        deployment.startEntry(0);
        for (std::size_t agent = 0; agent < agents; ++agent)
            deployment.startAgent(agent);
        standins::Deployment::await("links", [&deployment, agents]() {
            const nlohmann::json status = standins::Deployment::status(deployment.entryAdmins().at(0));
            return !status.is_null() && status.at("agents").size() == agents;
        });
        std::this_thread::sleep_for(std::chrono::seconds(2));
        const Usage entryBefore = usageOf(deployment.entryAdmins().at(0), deployment.entry(0).pid());
        const Usage agentBefore = usageOf(deployment.agentAdmins().at(0), deployment.agent(0).pid());
        std::this_thread::sleep_for(window);
        std::cout << "  " << std::setw(4) << agents << " agents: ";
        print("entry", entryBefore, usageOf(deployment.entryAdmins().at(0), deployment.entry(0).pid()));
        print("; an agent", agentBefore, usageOf(deployment.agentAdmins().at(0), deployment.agent(0).pid()));
        std::cout << std::endl;
    }
}

}
