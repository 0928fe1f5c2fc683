#include <catch2/catch.hpp>
#include <cowslipdoor/core/Error.h>
#include <cowslipdoor/wire/Codec.h>
#include <rapidcheck.h>

using namespace cowslipdoor;

namespace {

const Load load { { 8, 64, 32000, 125000 }, { 1, 2, 3, 4 }, true, false, true };
constexpr RequestId id { 0x0123456789abcdefULL, 0xfedcba9876543210ULL };
constexpr AttemptId attempt { { Incarnation { 1'733'000'000'000'000ULL }, 7 }, 3 };

bool isRefusedOrSame(const std::string& payload, const LinkMessage& message)
{
    try {
        return wire::decode(payload) == message;
    } catch (const Error&) {
        return true;
    }
}

const std::vector<LinkMessage>& examples()
{
    static const std::vector<LinkMessage> all {
        Hello { "agent-1", Incarnation { 5 }, "kangar", 12, load, 11 },
        Welcome { "entry-1", Incarnation { 6 }, 13, std::chrono::seconds(4), 11 },
        DispatchRequest { id, attempt, TrafficClass::Watch, std::chrono::milliseconds(250), { 1, 1, 500, 64 }, 2, { "POST", "/tally/1?n=2", "siti", { { "A", "b" }, { "A", "" } } }, Bytes(std::string("\0\xff body", 7)) },
        Answer { id, attempt, Response { 204, { { "X", "y" } }, Bytes("whole") }, load },
        Answer { id, attempt, FailureReason { ErrorKind::Internal, "why" }, load },
        Cancel { id, attempt },
        Inquiry { id, attempt, true },
        Report { id, attempt, RequestState::Finished, Completion(Response { 200, {}, Bytes() }) },
        Report { id, attempt, RequestState::FencedByOther, std::nullopt },
        LoadReport { load, 14 },
        Heartbeat { 15, 11 },
        RulesUpdate { 16, "version 16\n" },
        Release { id, attempt },
    };
    return all;
}

}

TEST_CASE("codec: every message is decoded to the value that was encoded", "[codec]")
{
    for (const LinkMessage& message : examples())
        CHECK((wire::decode(wire::encode(message)) == message));
}

TEST_CASE("codec: bytes that are not a message are refused", "[codec]")
{
    CHECK_THROWS_AS(wire::decode(""), Error);
    CHECK_THROWS_AS(wire::decode("GET / HTTP/1.1\r\n\r\n"), Error);
}

TEST_CASE("codec: a truncated payload is refused, unless only padding is missing", "[codec]")
{
    constexpr std::size_t mostPadding = 7;
    for (const LinkMessage& message : examples()) {
        const std::string whole = wire::encode(message);
        for (std::size_t length = 0; length < whole.size(); ++length) {
            const std::string cut = whole.substr(0, length);
            if (length + mostPadding < whole.size())
                CHECK_THROWS_AS(wire::decode(cut), Error);
            else
                CHECK(isRefusedOrSame(cut, message));
        }
    }
}

TEST_CASE("codec: damaged bytes decode to a message or cause a frame error", "[codec][fuzz]")
{
    CHECK(rc::check("damaged payloads", []() {
        std::string payload = wire::encode(examples()[*rc::gen::inRange<std::size_t>(0, examples().size())]);
        const std::size_t damages = *rc::gen::inRange<std::size_t>(1, 8);
        for (std::size_t damage = 0; damage < damages; ++damage)
            payload[*rc::gen::inRange<std::size_t>(0, payload.size())] = *rc::gen::arbitrary<char>();
        try {
            const LinkMessage message = wire::decode(payload);
            RC_ASSERT(message == wire::decode(wire::encode(message)));
        } catch (const Error& error) {
            RC_ASSERT(error.kind() == ErrorKind::BadFrame);
        }
    }));
    CHECK(rc::check("arbitrary payloads", []() {
        try {
            (void)wire::decode(*rc::gen::arbitrary<std::string>());
        } catch (const Error& error) {
            RC_ASSERT(error.kind() == ErrorKind::BadFrame);
        }
    }));
}
