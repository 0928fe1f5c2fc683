#include "ClientCrowd.h"
#include "StoreStandin.h"
#include "Support.h"
#include <cowslipdoor/runtime/Address.h>
#include <cowslipdoor/wire/Codec.h>
#include <cowslipdoor/wire/Frame.h>
#include <cowslipdoor/wire/JobCodec.h>
#include <random>

using namespace cowslipdoor;
using namespace cowslipdoor::tests;
using standins::ChildProcess;
using standins::freeAddress;

namespace {

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t mebibyte = 1024 * kibibyte;

/// Limits that the tests set.
constexpr std::size_t receiveLimit = 8 * mebibyte;
constexpr std::size_t callerConnections = 200;
constexpr std::size_t helloLimit = 32;
constexpr std::size_t callerBodyBytes = 256 * kibibyte;

/// Limits that are no settings: connections of each other HTTP port, largest frame of a link before its first message, largest
/// body of a heartbeat and of a page, and largest header.
constexpr std::size_t pageConnections = 64;
constexpr std::size_t helloFrameBytes = 64 * kibibyte;
constexpr std::size_t heartbeatBytes = 4 * mebibyte;
constexpr std::size_t pageBodyBytes = 4 * kibibyte;
constexpr std::size_t requestBodyBytes = mebibyte;

/// What a process takes by itself, and what each connection may take beside the bytes of its request.
constexpr std::size_t processBytes = 30 * mebibyte;
constexpr std::size_t connectionBytes = 16 * kibibyte;

/// Descriptors of a process beside the connections of clients.
constexpr std::size_t processDescriptors = 40;

/// Largest number of connections that a process serves: callers, readiness and admin or heartbeats and admin.
constexpr std::size_t httpConnections = callerConnections + 2 * pageConnections;
constexpr std::size_t memoryBound = processBytes + receiveLimit + httpConnections * connectionBytes + helloLimit * helloFrameBytes;
constexpr std::size_t descriptorBound = processDescriptors + httpConnections + helloLimit;

/// Sets the limits of all processes that the test starts. A program that does not have a setting ignores its variable.
void lowerLimits()
{
    ::setenv("COWSLIPDOOR_RECEIVE_LIMIT", std::to_string(receiveLimit).c_str(), 1);
    ::setenv("COWSLIPDOOR_HELLO_LIMIT", std::to_string(helloLimit).c_str(), 1);
    ::setenv("COWSLIPDOOR_BODY_LIMIT", std::to_string(requestBodyBytes).c_str(), 1);
}

std::size_t memoryOf(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string word; status >> word;) {
        std::size_t kilobytes = 0;
        if (word == "VmHWM:" && status >> kilobytes)
            return kilobytes * kibibyte;
    }
    return 0;
}

std::size_t descriptorsOf(pid_t process)
{
    std::size_t count = 0;
    for (const std::filesystem::directory_entry& descriptor : std::filesystem::directory_iterator("/proc/" + std::to_string(process) + "/fd"))
        count += descriptor.path().empty() ? 0 : 1;
    return count;
}

/// The real programs, each started when a test needs it.
class Programs {
public:
    Programs()
        : folder(std::filesystem::temp_directory_path() / ("cowslipdoor-clients-" + std::to_string(::getpid())))
        , store(this->storeAddress)
    {
        lowerLimits();
        std::filesystem::remove_all(this->folder);
        std::filesystem::create_directories(this->folder);
        std::ofstream(this->folder / "rules") << systemRules;
        const nlohmann::json queue { { "name", "queue" }, { "host", "jobs.example" }, { "prefix", "/jobs/" }, { "route-type", "unsafe" }, { "timeout-ms", 3000 }, { "slo-ms", 500 },
            { "priority", 0 }, { "service", "service" }, { "attempts", 3 }, { "stretch", 2.0 } };
        const nlohmann::json limits { { "max-header-bytes", 16 * kibibyte }, { "max-body-bytes", callerBodyBytes }, { "header-timeout-ms", 3000 }, { "idle-timeout-ms", 15'000 } };
        const nlohmann::json configuration { { "version", 7 }, { "routes", { queue } }, { "services", { { { "name", "service" } } } }, { "limits", limits } };
        this->store.put("op", "config", configuration.dump());
    }

    std::unique_ptr<ChildProcess> startJobsEntry() const
    {
        return this->start(COWSLIPDOOR_ENTRY, { "jobs", "entry", "--name=entry", "--listen=" + this->callers, "--ready-listen=" + this->readiness, "--store=" + this->storeAddress, "--connection-limit=" + std::to_string(callerConnections) });
    }

    std::unique_ptr<ChildProcess> startJobsAgent() const
    {
        return this->start(COWSLIPDOOR_AGENT, { "jobs", "--name=agent", "--worker=" + this->worker, "--registry-listen=" + this->registry, "--link-listen=" + this->links, "--store=" + this->storeAddress });
    }

    std::unique_ptr<ChildProcess> startEntry() const
    {
        return this->start(COWSLIPDOOR_ENTRY, { "entry", "--name=entry", "--listen=" + this->callers, "--link-listen=" + this->links, "--rules=" + (this->folder / "rules").string(), "--connection-limit=" + std::to_string(callerConnections) });
    }

    std::unique_ptr<ChildProcess> startAgent() const
    {
        return this->start(COWSLIPDOOR_AGENT, { "--name=agent", "--entries=" + this->links });
    }

    /// Starts an agent of the entry with an admin address of its own.
    std::unique_ptr<ChildProcess> startLinkedAgent() const
    {
        return std::make_unique<ChildProcess>(COWSLIPDOOR_AGENT, std::vector<std::string> { "--name=linked", "--failure-domain=zone", "--admin-listen=" + freeAddress(), "--entries=" + this->links }, (this->folder / "log").string());
    }

    const std::filesystem::path folder;
    const std::string storeAddress = freeAddress();
    const std::string callers = freeAddress();
    const std::string readiness = freeAddress();
    const std::string admin = freeAddress();
    const std::string registry = freeAddress();
    const std::string links = freeAddress();
    const std::string worker = freeAddress();

private:
    std::unique_ptr<ChildProcess> start(const std::string& program, std::vector<std::string> arguments) const
    {
        arguments.push_back("--failure-domain=zone");
        arguments.push_back("--admin-listen=" + this->admin);
        std::unique_ptr<ChildProcess> process = std::make_unique<ChildProcess>(program, arguments, (this->folder / "log").string());
        Deployment::await("the program to answer", [this]() { return answered({ .address = this->admin, .target = "/healthz" }, { 200 }); });
        return process;
    }

public:
    /// Returns whether a request is answered with one of these statuses.
    static bool answered(runtime::HttpCall call, const std::vector<unsigned>& accepted)
    {
        call.timeout = std::chrono::seconds(4);
        try {
            const Response response = runtime::fetch(call);
            return std::find(accepted.begin(), accepted.end(), response.status) != accepted.end();
        } catch (const Error&) {
            return false;
        }
    }

private:
    platform::StoreStandin store;
};

/// One HTTP port of a program.
struct Port {
    std::string name;
    std::unique_ptr<ChildProcess> (Programs::*start)() const;
    const std::string Programs::*address;
    /// Request that an ordinary client sends, and the answers that it accepts.
    runtime::HttpCall ordinary;
    std::vector<unsigned> accepted;
    /// Method and target of the requests of the crowd.
    std::string line;
    std::size_t bodyBytes = 0;
    std::size_t connections = 0;
};

const std::string jobBody = R"({"other":")" + std::string(20'000, 'x') + R"(","spec":"text","phases":[{"count":1,"cpu":100,"mem-mb":10,"estimate-ms":100}]})";
const std::string heartbeatBody = R"({"service":"service","address":"127.0.0.1:1","zone":"zone","version":"v1","slots":8,"state":"ready","cold-remaining-ms":0,)"
                                  R"("capacity":{"cpu":16000,"mem-mb":62500,"gpus":0},"labels":[],"clock-ms":1,"seq":1,"born":1})";

std::vector<Port> httpPorts()
{
    using runtime::HttpCall;
    const std::string job = "POST /jobs/0000000000000001";
    const HttpCall page { .target = "/healthz" };
    const HttpCall submission { .method = "POST", .target = "/jobs/0000000000000002", .headers = { { "Host", "jobs.example" } }, .body = jobBody };
    const HttpCall heartbeat { .method = "PUT", .target = "/v1/instances/worker", .body = heartbeatBody };
    const HttpCall request { .method = "POST", .target = "/unknown", .body = std::string(20'000, 'x') };
    std::vector<Port> ports;
    ports.push_back({ "callers of jobs", &Programs::startJobsEntry, &Programs::callers, submission, { 200 }, job, callerBodyBytes, callerConnections });
    ports.push_back({ "readiness", &Programs::startJobsEntry, &Programs::readiness, { .target = "/v1/ready" }, { 200, 503 }, "POST /v1/ready", pageBodyBytes, pageConnections });
    ports.push_back({ "admin of a jobs entry", &Programs::startJobsEntry, &Programs::admin, page, { 200 }, "POST /status", pageBodyBytes, pageConnections });
    ports.push_back({ "heartbeats", &Programs::startJobsAgent, &Programs::registry, heartbeat, { 200 }, "PUT /v1/instances/other", heartbeatBytes, pageConnections });
    ports.push_back({ "admin of a jobs agent", &Programs::startJobsAgent, &Programs::admin, page, { 200 }, "POST /status", pageBodyBytes, pageConnections });
    ports.push_back({ "callers of requests", &Programs::startEntry, &Programs::callers, request, { 404 }, "POST /quick", requestBodyBytes, callerConnections });
    ports.push_back({ "admin of an entry", &Programs::startEntry, &Programs::admin, page, { 200 }, "POST /status", requestBodyBytes, pageConnections });
    ports.push_back({ "announcements", &Programs::startAgent, &Programs::admin, page, { 200 }, "POST /announce", requestBodyBytes, pageConnections });
    return ports;
}

/// Checks the process after or during an attack.
void checkBounds(ChildProcess& process)
{
    REQUIRE(process.running());
    const std::size_t memory = memoryOf(process.pid());
    const std::size_t descriptors = descriptorsOf(process.pid());
    INFO("memory " << memory / kibibyte << " KiB of " << memoryBound / kibibyte << ", descriptors " << descriptors << " of " << descriptorBound);
    CHECK(memory <= memoryBound);
    CHECK(descriptors <= descriptorBound);
}

/// Returns whether an ordinary request is answered. It is repeated, as callers do after a refusal.
bool servesOrdinary(const Programs& programs, const Port& port)
{
    runtime::HttpCall call = port.ordinary;
    call.address = programs.*port.address;
    for (int attempt = 0; attempt < 12; ++attempt) {
        if (Programs::answered(call, port.accepted))
            return true;
        sleepFor(std::chrono::milliseconds(250));
    }
    return false;
}

/// Attacks each HTTP port in turn.
/// @param plan makes the plan of the crowd for a port
void attackEachPort(const std::function<CrowdPlan(const Port&)>& plan)
{
    for (const Port& port : httpPorts()) {
        DYNAMIC_SECTION(port.name)
        {
            const Programs programs;
            const std::unique_ptr<ChildProcess> process = (programs.*port.start)();
            REQUIRE(servesOrdinary(programs, port));
            ClientCrowd crowd(programs.*port.address, plan(port));
            crowd.awaitSent();
            checkBounds(*process);
            CHECK(servesOrdinary(programs, port));
            crowd.close();
            CHECK(servesOrdinary(programs, port));
            checkBounds(*process);
        }
    }
}

const std::string chunkedHead = " HTTP/1.1\r\nHost: jobs.example\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string chunkOf(std::size_t bytes)
{
    std::ostringstream size;
    size << std::hex << bytes;
    return size.str() + "\r\n" + std::string(bytes, 'x') + "\r\n";
}

/// Removes a long text from a body, so that changes of single bytes affect the rest.
std::string shortBody(std::string body)
{
    const std::size_t begin = body.find("xxxx");
    if (begin != std::string::npos)
        body.erase(begin, body.find_first_not_of('x', begin) - begin);
    return body;
}

/// Changes, removes or repeats a few bytes.
std::string mutated(std::string text, std::mt19937& random)
{
    for (unsigned changes = 1 + random() % 3; changes > 0 && text.size() > 1; --changes) {
        const std::size_t place = random() % text.size();
        const std::size_t length = std::min<std::size_t>(random() % 8, text.size() - place);
        switch (random() % 3) {
        case 0:
            text[place] = static_cast<char>(random() % 256);
            break;
        case 1:
            text.erase(place, length);
            break;
        default:
            text.insert(place, text.substr(place, length));
        }
    }
    return text;
}

/// Sends bytes, ends the sending direction, and reads until the other side closes the connection.
void sendAndDrain(const std::string& address, const std::string& bytes)
{
    runtime::asio::io_context context(1);
    runtime::tcp::socket socket(context);
    socket.connect(runtime::parseAddress(address));
    runtime::error_code error;
    runtime::asio::write(socket, runtime::asio::buffer(bytes), error);
    socket.shutdown(runtime::tcp::socket::shutdown_send, error);
    std::array<char, 4096> buffer {};
    error = {};
    while (!error)
        socket.read_some(runtime::asio::buffer(buffer), error);
}

/// Connections of a crowd that sends without end, and what each sends at most.
constexpr std::size_t endlessClients = 4;
constexpr std::size_t endlessBytes = 24 * mebibyte;

}

// Guards against: a parser that keeps all trailers of a chunked body takes the process over its memory.
TEST_CASE("clients: trailers without end", "[system][clients]")
{
    attackEachPort([](const Port& port) { return CrowdPlan { endlessClients, port.line + chunkedHead + "1\r\nx\r\n0\r\n", "x-filler: " + std::string(500, 'x') + "\r\n", endlessBytes }; });
}

// Guards against: a parser that waits for the end of a chunk's header keeps all of it.
TEST_CASE("clients: a chunk extension without end", "[system][clients]")
{
    attackEachPort([](const Port& port) { return CrowdPlan { endlessClients, port.line + chunkedHead + "1", ";filler=" + std::string(500, 'x'), endlessBytes }; });
}

// Guards against: fields of a header that are parsed as they arrive are not counted against the limit of the header.
TEST_CASE("clients: a header without end, in fields", "[system][clients]")
{
    attackEachPort([](const Port& port) { return CrowdPlan { endlessClients, port.line + " HTTP/1.1\r\n", "x-filler: " + std::string(500, 'x') + "\r\n", endlessBytes }; });
}

TEST_CASE("clients: a header without end, in one field", "[system][clients]")
{
    attackEachPort([](const Port& port) { return CrowdPlan { endlessClients, port.line + " HTTP/1.1\r\nx-filler: ", std::string(500, 'x'), endlessBytes }; });
}

// Guards against: many unfinished bodies together take the process over its memory, or take the budget for bodies from all others.
TEST_CASE("clients: chunked bodies in large chunks that stop short", "[system][clients]")
{
    attackEachPort([](const Port& port) {
        const std::size_t chunk = std::min(port.bodyBytes / 4, 64 * kibibyte);
        return CrowdPlan { port.connections * 7 / 10, port.line + chunkedHead, chunkOf(chunk), (port.bodyBytes / chunk - 1) * chunkOf(chunk).size() };
    });
}

TEST_CASE("clients: chunked bodies in very small chunks that stop short", "[system][clients]")
{
    attackEachPort([](const Port& port) {
        std::string hundredChunks;
        for (int count = 0; count < 100; ++count)
            hundredChunks += chunkOf(1);
        const std::size_t payload = std::min(port.bodyBytes - 1, 100 * kibibyte);
        return CrowdPlan { port.connections * 7 / 10, port.line + chunkedHead, hundredChunks, payload / 100 * hundredChunks.size() };
    });
}

TEST_CASE("clients: bodies with a length that stop short", "[system][clients]")
{
    attackEachPort([](const Port& port) {
        const std::string head = port.line + " HTTP/1.1\r\nHost: jobs.example\r\nContent-Length: " + std::to_string(port.bodyBytes) + "\r\n\r\n";
        return CrowdPlan { port.connections * 7 / 10, head, std::string(kibibyte, 'x'), port.bodyBytes - kibibyte };
    });
}

// Guards against: fields take many times their text, so that headers within their limit take the process over its memory.
TEST_CASE("clients: headers of many short fields, whose bodies stop short", "[system][clients]")
{
    attackEachPort([](const Port& port) {
        std::string head = port.line + " HTTP/1.1\r\nContent-Length: 9\r\n";
        while (head.size() < 16 * kibibyte - 100)
            head += "a:\r\n";
        return CrowdPlan { port.connections * 7 / 10, head + "\r\nx", "", 0 };
    });
}

// Guards against: connections that send nothing keep all others away.
TEST_CASE("clients: more idle connections than the limit", "[system][clients]")
{
    attackEachPort([](const Port& port) { return CrowdPlan { port.connections + 100, "", "", 0 }; });
}

TEST_CASE("clients: more connections than the limit, each with an unfinished header", "[system][clients]")
{
    attackEachPort([](const Port& port) { return CrowdPlan { port.connections + 100, port.line + " HTTP/1.1\r\nx-filler: " + std::string(15 * kibibyte, 'x'), "", 0 }; });
}

// Guards against: one malformed message ends a process or leaves it without an answer. Each message is the ordinary one with a few bytes
// changed; the seed is fixed.
TEST_CASE("clients: malformed requests", "[system][clients]")
{
    for (const Port& port : httpPorts()) {
        DYNAMIC_SECTION(port.name)
        {
            const Programs programs;
            const std::unique_ptr<ChildProcess> process = (programs.*port.start)();
            const std::string body = port.ordinary.body.empty() ? "x" : shortBody(port.ordinary.body);
            const std::string whole = port.ordinary.method + " " + port.ordinary.target + " HTTP/1.1\r\nHost: jobs.example\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            std::mt19937 random(20261204);
            for (int count = 0; count < 300; ++count)
                sendAndDrain(programs.*port.address, mutated(whole, random));
            CHECK(servesOrdinary(programs, port));
            checkBounds(*process);
            CHECK_THAT(readText((programs.folder / "log").string()), !Catch::Contains("connection_failed"));
        }
    }
}

TEST_CASE("clients: malformed frames", "[system][clients]")
{
    const Programs programs;
    std::mt19937 random(20261204);
    SECTION("at an entry, whose agents still get links")
    {
        const std::unique_ptr<ChildProcess> entry = programs.startEntry();
        const std::string hello = wire::frame(wire::encode(LinkMessage(Hello { .agent = "other", .incarnation = Incarnation { 1 }, .failureDomain = "zone" })));
        const std::string bye = wire::frame(wire::encode(LinkMessage(Cancel {})));
        for (int count = 0; count < 1000; ++count)
            sendAndDrain(programs.links, mutated(hello, random) + mutated(bye, random));
        const std::unique_ptr<ChildProcess> agent = programs.startLinkedAgent();
        CHECK_NOTHROW(Deployment::await("the agent to be linked", [&programs]() { return Deployment::status(programs.admin).at("agents").size() == 1; }));
        checkBounds(*entry);
    }
    SECTION("at an agent of jobs, which still answers")
    {
        const std::unique_ptr<ChildProcess> agent = programs.startJobsAgent();
        const std::string hello = wire::frame(wire::encode(toJobMessage(LeaderMessage(LeaderHello { 1, "leader", 1, "" }))));
        for (int count = 0; count < 1000; ++count)
            sendAndDrain(programs.links, mutated(hello, random) + mutated(hello, random));
        CHECK(Programs::answered({ .address = programs.admin, .target = "/status" }, { 200 }));
        checkBounds(*agent);
    }
    CHECK_THAT(readText((programs.folder / "log").string()), !Catch::Contains("connection_failed"));
}

// Guards against: links that never send their first message take descriptors and memory without a limit.
TEST_CASE("clients: links without a first message", "[system][clients]")
{
    // No byte; frames of 4 MiB, of which 3 MiB arrive; and frames within the limit, of which all but a little arrives.
    const std::size_t attack = GENERATE(as<std::size_t> {}, 0, 1, 2);
    const std::vector<CrowdPlan> plans {
        { 500, "", "", 0 },
        { 60, std::string("\0\0\x40\0", 4), std::string(kibibyte, 'x'), 3 * mebibyte },
        { 500, std::string("\xff\xff\0\0", 4), std::string(kibibyte, 'x'), 60 * kibibyte },
    };
    const Programs programs;
    const CrowdPlan plan = plans[attack];
    SECTION("at an entry, whose agents still get links")
    {
        const std::unique_ptr<ChildProcess> entry = programs.startEntry();
        ClientCrowd crowd(programs.links, plan);
        crowd.awaitSent();
        checkBounds(*entry);
        const std::unique_ptr<ChildProcess> agent = programs.startLinkedAgent();
        const auto linked = [&programs]() { return Deployment::status(programs.admin).at("agents").size() == 1; };
        CHECK_NOTHROW(Deployment::await("the agent to be linked", linked));
        crowd.close();
        CHECK_NOTHROW(Deployment::await("the agent to stay linked", linked));
        checkBounds(*entry);
    }
    SECTION("at an agent of jobs, which still answers")
    {
        const std::unique_ptr<ChildProcess> agent = programs.startJobsAgent();
        ClientCrowd crowd(programs.links, plan);
        crowd.awaitSent();
        checkBounds(*agent);
        CHECK(Programs::answered({ .address = programs.admin, .target = "/healthz" }, { 200 }));
        crowd.close();
        checkBounds(*agent);
    }
}
