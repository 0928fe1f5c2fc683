#include "Cases.h"
#include "MemoryLimit.h"
#include <utility>

namespace review {

namespace {

    constexpr const char* job = "00000000000000e1";

    /// memory-mb of the machines that run agents.
    constexpr long memoryLimitMb = 128;

    /// Largest heartbeat that the platform's pages name.
    constexpr std::size_t largestHeartbeat = 4 * 1024 * 1024;

    constexpr std::size_t machinesHit = 2;
    constexpr std::size_t heartbeatsEach = 3;

    /// Pause between two heartbeats to a machine.
    constexpr long long pauseMs = 5000;

    /// Heartbeat whose service is a list of empty objects.
    std::string foreignHeartbeat()
    {
        const std::string head = R"({"address":"127.0.0.1:9","zone":"jylland-a","version":"v1","slots":8,"state":"ready","cold-remaining-ms":0,"capacity":{"cpu":16000,"mem-mb":62500,"gpus":0},"labels":["a"],"seq":1,"born":1,"service":[{})";
        const std::string tail = "]}";
        std::string body = head;
        while (body.size() + tail.size() + 3 <= largestHeartbeat)
            body += ",{}";
        return body + tail;
    }

}

Verdict largeForeignHeartbeats(const CaseInput& input, Record& record)
{
    Deployment deployment({ .root = input.root, .folder = input.folder }, record);
    if (!deployment.waitUntilReady(30000)) {
        record.line("the deployment is not ready in time");
        return Verdict::CouldNotRun;
    }
    if (deployment.call(0, "POST", job, jobBody(4, 500, 500), 3000).status != 200)
        return Verdict::CouldNotRun;
    sleepMs(3000);
    const std::string body = foreignHeartbeat();
    std::vector<WatchedProcess> watched;
    for (std::size_t number = 0; number < machinesHit; ++number) {
        watched.push_back({ "agent " + std::to_string(number), [&deployment, number]() -> Process& { return deployment.agent(number); },
            [&deployment, number]() { deployment.startAgent(number); } });
    }
    const MemoryLimit platform(memoryLimitMb, std::move(watched), record);
    for (std::size_t round = 0; round < heartbeatsEach; ++round) {
        for (std::size_t number = 0; number < machinesHit && input.trouble; ++number) {
            record.line("another writer sends agent " + std::to_string(number) + " a heartbeat of " + std::to_string(body.size()) + " bytes whose service is a list");
            const HttpAnswer answer = request(deployment.registryPort(number), "PUT", "/v1/instances/i-other", { "Host: registry" }, body, 2000);
            record.line("it is answered with " + (answer.status == 0 ? std::string("nothing") : std::to_string(answer.status)));
        }
        sleepMs(pauseMs);
    }
    std::size_t machines = 0;
    for (std::size_t number = 0; number < machinesHit; ++number) {
        record.line("agent " + std::to_string(number) + " ended " + std::to_string(platform.ends(number)) + " times; its peak was " + std::to_string(platform.peakMb(number)) + " MB");
        machines += platform.ends(number) >= heartbeatsEach ? 1 : 0;
    }
    if (deployment.runs().size() < 4) {
        record.line("the job did not run");
        return Verdict::CouldNotRun;
    }
    return machines >= machinesHit ? Verdict::Broken : Verdict::Held;
}

}
