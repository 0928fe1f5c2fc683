#include "Support.h"
#include <boost/asio/write.hpp>
#include <cowslipdoor/runtime/Address.h>
#include <cowslipdoor/runtime/Asio.h>

using namespace cowslipdoor;
using namespace cowslipdoor::tests;

namespace {

/// Sends raw bytes to an address and returns all bytes that are received until the connection closes.
std::string rawExchange(const std::string& address, const std::string& bytes)
{
    runtime::asio::io_context context(1);
    runtime::tcp::socket socket(context);
    socket.connect(runtime::parseAddress(address));
    runtime::asio::write(socket, runtime::asio::buffer(bytes));
    std::string answer;
    std::array<char, 4096> buffer {};
    runtime::error_code error;
    while (!error) {
        const std::size_t count = socket.read_some(runtime::asio::buffer(buffer), error);
        answer.append(buffer.data(), count);
    }
    return answer;
}

}

TEST_CASE("requests: overlapping requests get their own complete answers", "[system]")
{
    TestDeployment deployment({ .agents = 2 });
    std::vector<std::future<Response>> slow;
    for (int number = 0; number < 6; ++number)
        slow.push_back(deployment.callLater(number % 2, "/quick?n=s" + std::to_string(number) + "&ms=300&bytes=200000"));
    for (int number = 0; number < 20; ++number)
        CHECK(deployment.call(number % 2, "/quick?n=" + std::to_string(number)).body.view() == "answer " + std::to_string(number) + " ");
    for (int number = 0; number < 6; ++number) {
        const Response response = slow[static_cast<std::size_t>(number)].get();
        CHECK(response.body.size() == 200'000);
        CHECK(response.body.view().starts_with("answer s" + std::to_string(number) + " "));
        CHECK(outcomeOf(response) == "ran");
    }
}

TEST_CASE("requests: copies of a keyed request run once, whether concurrent or later, at any entry", "[system]")
{
    TestDeployment deployment({});
    std::vector<std::future<Response>> copies;
    for (int copy = 0; copy < 6; ++copy)
        copies.push_back(deployment.callLater(copy % 2, "/tally?n=t&ms=200", "key"));
    for (std::future<Response>& copy : copies) {
        const Response response = copy.get();
        CHECK((response.status == 200 || outcomeOf(response) == "unknown"));
    }
    CHECK(deployment.call(0, "/tally?n=t&ms=200", "key").body.view() == "answer t ");
    CHECK(deployment.call(1, "/tally?n=t&ms=200", "key").body.view() == "answer t ");
    CHECK(deployment.startsOf("t") == 1);
}

TEST_CASE("requests: a truncated, malformed or missing answer of the upstream gives an unknown outcome, and only idempotent requests are retried", "[system]")
{
    TestDeployment deployment({ .agents = 3, .entries = 1 });
    const std::string fault = GENERATE("truncate", "garbage", "close");
    const Response tally = deployment.call(0, "/tally?n=t&fault=" + fault, "key-" + fault);
    CHECK(tally.status == 502);
    CHECK(outcomeOf(tally) == "unknown");
    CHECK(deployment.startsOf("t") == 1);
    CHECK(outcomeOf(deployment.call(0, "/quick?n=q&fault=" + fault)) == "unknown");
    CHECK(deployment.startsOf("q") == 3);
    CHECK(deployment.call(0, "/quick?n=ok").status == 200);
}

TEST_CASE("requests: a hanging upstream delays only its own caller, up to the deadline", "[system]")
{
    TestDeployment deployment({ .agents = 2, .entries = 1 });
    std::future<Response> hanging = deployment.callLater(0, "/tally?n=h&fault=hang", "key");
    for (int number = 0; number < 50; ++number)
        CHECK(deployment.call(0, "/quick?n=" + std::to_string(number)).status == 200);
    CHECK(outcomeOf(hanging.get()) == "unknown");
    CHECK(deployment.startsOf("h") == 1);
}

TEST_CASE("requests: malformed, oversized and slow requests get an error and do not affect other callers", "[system]")
{
    TestDeployment deployment({ .agents = 1, .entries = 1, .entryFlags = { "--slow-limit=300ms", "--body-limit=1000", "--header-limit=2000" } });
    const std::string address = deployment.callerAddresses().at(0);
    std::future<std::string> slow = std::async(std::launch::async, [&address]() { return rawExchange(address, "POST /quick HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc"); });
    CHECK(rawExchange(address, "this is no HTTP\r\n\r\n").find("bad_request") != std::string::npos);
    CHECK(rawExchange(address, "GET /quick HTTP/1.1\r\nX: " + std::string(5000, 'x') + "\r\n\r\n").find("HTTP/1.1 431") == 0);
    CHECK(rawExchange(address, "POST /quick HTTP/1.1\r\nContent-Length: 100000000\r\n\r\n").find("HTTP/1.1 413") == 0);
    CHECK(deployment.call(0, "/quick?n=1").status == 200);
    CHECK_THAT(slow.get(), Catch::Contains("bad_request"));
    CHECK(deployment.call(0, "/unknown").status == 404);
    CHECK(deployment.call(0, "/quick?n=2").status == 200);
}

TEST_CASE("requests: malformed frames and announcements are refused and do not affect callers", "[system]")
{
    TestDeployment deployment({ .agents = 1, .entries = 1 });
    (void)rawExchange(deployment.linkAddresses().at(0), "\xff\xff\xff\xff");
    (void)rawExchange(deployment.linkAddresses().at(0), std::string("\x08\0\0\0junkjunk", 12));
    const Response refused = runtime::fetch({ .address = deployment.agentAdmins().at(0), .method = "POST", .target = "/announce", .body = "{\"instance\":true}" });
    CHECK(refused.status == 400);
    CHECK(refused.body.view().find("instance") != std::string_view::npos);
    CHECK(deployment.call(0, "/quick?n=1").status == 200);
}

TEST_CASE("requests: a caller that disconnects frees its slots", "[system]")
{
    TestDeployment deployment({ .agents = 1, .entries = 1, .slots = 2 });
    for (int number = 0; number < 2; ++number)
        CHECK_THROWS_AS(deployment.call(0, "/batch?n=g" + std::to_string(number) + "&ms=1500", "", std::chrono::milliseconds(300)), Error);
    Deployment::await("the requests to be cancelled", [&deployment]() { return Deployment::status(deployment.entryAdmins().at(0)).at("cancelled") == 2; });
    CHECK(deployment.call(0, "/batch?n=after").status == 200);
    CHECK(deployment.counts().overfilled == 0);
}

TEST_CASE("requests: a request that cannot start before its deadline is answered with 'not run' and never runs", "[system]")
{
    TestDeployment deployment({ .agents = 1, .entries = 1, .slots = 1 });
    std::future<Response> first = deployment.callLater(0, "/batch?n=long&ms=4000");
    Deployment::await("the long request to run", [&deployment]() { return deployment.startsOf("long") == 1; });
    const Response late = deployment.call(0, "/quick?n=late");
    CHECK(late.status == 504);
    CHECK(outcomeOf(late) == "not run");
    CHECK(first.get().status == 200);
    CHECK(deployment.startsOf("late") == 0);
}
