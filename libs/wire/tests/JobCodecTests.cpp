#include <catch2/catch.hpp>
#include <cowslipdoor/core/Error.h>
#include <cowslipdoor/scheduling/Limits.h>
#include <cowslipdoor/scheduling/Workers.h>
#include <cowslipdoor/wire/Frame.h>
#include <cowslipdoor/wire/JobCodec.h>

using namespace cowslipdoor;

namespace {

std::vector<JobMessage> allMessages()
{
    const RunId run { { { "00ff" }, 1, 2 }, 3 };
    const WorkerIdentity identity { "worker", 1'700'000'000'000 };
    const PaceTraits traits { true, "image", 2500, std::chrono::milliseconds(50), { { "serving", 0.25 }, { "other", 1.5 } } };
    const RunStatus status { run, "saved", 40, 17, 60 };
    const RunEnd end { 9, run, RunEndKind::GangIncomplete, "saved" };
    const WorkerInfo worker { identity, "service", { 1, 2, 3 }, { "a", "r1" }, true, std::chrono::seconds(2), true, "zone-a", std::chrono::seconds(3) };
    return {
        LeaderHello { 4, "entry", 7, "agent" },
        LeaderHello { 4, "entry", 7 },
        DescribeRun { run, traits },
        StartRun { run, identity, "text", "saved", traits, 11, 12 },
        StopRun { run },
        AcknowledgeEnds { identity, 9 },
        Pong { -5 },
        Ping { 5 },
        WorkerSnapshot { "agent", 7, worker, true, { status }, { end }, { run }, 11 },
        WorkerSnapshot { "agent", 0, std::nullopt, false, {}, {}, {}, 0 },
        RunsEnded { identity, { end, end } },
        RunRejected { run, "room" },
        RunProgress { identity, { status } },
    };
}

}

TEST_CASE("job codec: every message is decoded to the value that was encoded", "[wire]")
{
    for (const JobMessage& message : allMessages())
        CHECK(wire::decodeJobMessage(wire::encode(message)) == message);
}

TEST_CASE("job codec: a payload truncated at any length is refused or decodes to a message", "[wire]")
{
    for (const JobMessage& message : allMessages()) {
        const std::string whole = wire::encode(message);
        for (std::size_t length = 0; length < whole.size(); ++length) {
            try {
                static_cast<void>(wire::decodeJobMessage(whole.substr(0, length)));
            } catch (const Error& error) {
                CHECK(error.kind() == ErrorKind::BadFrame);
            }
        }
    }
    CHECK_THROWS_AS(wire::decodeJobMessage(""), Error);
    CHECK_THROWS_AS(wire::decodeJobMessage(std::string(64, 'x')), Error);
}

// Guards against: an agent whose worker has many runs can send none of its lists, so that its link is closed again and again.
TEST_CASE("job codec: the list of as many runs as a worker may have, with the largest checkpoints, fits into a frame", "[wire]")
{
    // A worker lists 500 ends at a time.
    constexpr std::size_t ends = 500;
    const std::string checkpoint(maximumCheckpointBytes, 'x');
    const RunId run { { { "5c0e7a21d94b36f8" }, 63, 999 }, maximumRunNumber };
    const WorkerInfo worker { { "worker", 1'700'000'000'000 }, "service", { 1, 2, 3 }, std::vector<std::string>(maximumLabels, std::string(maximumNameBytes, 'x')) };
    const WorkerSnapshot snapshot { "agent", 7, worker, true, std::vector<RunStatus>(maximumRunsOfWorker, { run, checkpoint, 100, maximumResourceAmount }), std::vector<RunEnd>(ends, { 9, run, RunEndKind::Done, checkpoint }), std::vector<RunId>(maximumRunsOfWorker, run), 11 };
    const std::string payload = wire::encode(JobMessage(snapshot));
    INFO(payload.size() << " bytes");
    CHECK(wire::frame(payload).size() > payload.size());
    CHECK(wire::decodeJobMessage(payload) == JobMessage(snapshot));
}
