#include "cowslipdoor/wire/JobCodec.h"
#include "cowslipdoor/wire/generated/jobs_generated.h"
#include <cowslipdoor/core/Error.h>
#include <memory>

namespace cowslipdoor::wire {

namespace {

    constexpr std::size_t maximumVerifierDepth = 16;
    constexpr std::size_t maximumVerifierTables = 100'000;

    [[noreturn]] void refuse(const std::string& what)
    {
        throw Error(ErrorKind::BadFrame, what);
    }

    /// Returns a table that each valid message holds; throws Error with ErrorKind::BadFrame if it is missing.
    template <typename Table>
    const Table& required(const std::unique_ptr<Table>& table)
    {
        if (!table)
            refuse("a job message lacks a required table");
        return *table;
    }

    std::unique_ptr<jobs::RunT> pack(const RunId& run)
    {
        std::unique_ptr<jobs::RunT> table = std::make_unique<jobs::RunT>();
        table->job = run.task.job.text;
        table->step = run.task.step;
        table->index = run.task.index;
        table->number = run.number;
        return table;
    }

    RunId unpack(const jobs::RunT& table)
    {
        return { { { table.job }, table.step, table.index }, table.number };
    }

    std::unique_ptr<jobs::IdentityT> pack(const WorkerIdentity& identity)
    {
        std::unique_ptr<jobs::IdentityT> table = std::make_unique<jobs::IdentityT>();
        table->id = identity.id;
        table->born = identity.startedAtMs;
        return table;
    }

    WorkerIdentity unpack(const jobs::IdentityT& table)
    {
        return { table.id, table.born };
    }

    std::unique_ptr<jobs::SlackLossT> pack(const SlackLoss& loss)
    {
        std::unique_ptr<jobs::SlackLossT> table = std::make_unique<jobs::SlackLossT>();
        table->image = loss.image;
        table->loss = loss.loss;
        return table;
    }

    SlackLoss unpack(const jobs::SlackLossT& table)
    {
        return { table.image, table.loss };
    }

    std::unique_ptr<jobs::WorkerT> pack(const WorkerInfo& worker)
    {
        std::unique_ptr<jobs::WorkerT> table = std::make_unique<jobs::WorkerT>();
        table->identity = pack(worker.identity);
        table->service = worker.service;
        table->milli_cores = worker.capacity.milliCores;
        table->memory_mb = worker.capacity.memoryMb;
        table->accelerators = worker.capacity.accelerators;
        table->labels = worker.labels;
        table->draining = worker.draining;
        table->remaining_us = worker.remaining.count();
        table->long_lease = worker.longLease;
        table->failure_domain = worker.failureDomain;
        table->cold_remaining_us = worker.coldRemaining.count();
        return table;
    }

    WorkerInfo unpack(const jobs::WorkerT& table)
    {
        return { unpack(required(table.identity)), table.service, { table.milli_cores, table.memory_mb, table.accelerators }, table.labels, table.draining, Duration(table.remaining_us), table.long_lease, table.failure_domain, Duration(table.cold_remaining_us) };
    }

    std::unique_ptr<jobs::StatusT> pack(const RunStatus& status)
    {
        std::unique_ptr<jobs::StatusT> table = std::make_unique<jobs::StatusT>();
        table->run = pack(status.run);
        table->checkpoint = status.checkpoint;
        table->percent = status.percent;
        table->figure = status.measurement;
        table->pace = status.pace;
        return table;
    }

    RunStatus unpack(const jobs::StatusT& table)
    {
        return { unpack(required(table.run)), table.checkpoint, table.percent, table.figure, table.pace };
    }

    std::unique_ptr<jobs::EndT> pack(const RunEnd& end)
    {
        std::unique_ptr<jobs::EndT> table = std::make_unique<jobs::EndT>();
        table->number = end.number;
        table->run = pack(end.run);
        table->kind = static_cast<std::uint8_t>(end.kind);
        table->checkpoint = end.checkpoint;
        return table;
    }

    RunEnd unpack(const jobs::EndT& table)
    {
        if (table.kind > static_cast<std::uint8_t>(RunEndKind::GangIncomplete))
            refuse("the end of a run has an unknown kind");
        return { table.number, unpack(required(table.run)), static_cast<RunEndKind>(table.kind), table.checkpoint };
    }

    template <typename Table, typename Value>
    std::vector<std::unique_ptr<Table>> packAll(const std::vector<Value>& values)
    {
        std::vector<std::unique_ptr<Table>> tables;
        tables.reserve(values.size());
        for (const Value& value : values)
            tables.push_back(pack(value));
        return tables;
    }

    template <typename Value, typename Table>
    std::vector<Value> unpackAll(const std::vector<std::unique_ptr<Table>>& tables)
    {
        std::vector<Value> values;
        values.reserve(tables.size());
        for (const std::unique_ptr<Table>& table : tables)
            values.push_back(unpack(required(table)));
        return values;
    }

    std::unique_ptr<jobs::PaceTraitsT> pack(const PaceTraits& traits)
    {
        std::unique_ptr<jobs::PaceTraitsT> table = std::make_unique<jobs::PaceTraitsT>();
        table->fills = traits.bestEffort;
        table->target_us = traits.target.count();
        table->image = traits.image;
        table->milli_cores = traits.milliCores;
        table->losses = packAll<jobs::SlackLossT>(traits.losses);
        return table;
    }

    PaceTraits unpack(const jobs::PaceTraitsT& table)
    {
        return { table.fills, table.image, table.milli_cores, Duration(table.target_us), unpackAll<SlackLoss>(table.losses) };
    }

    /// Sets the union to the table of a message.
    struct BodyPacker {
        jobs::BodyUnion& body;

        void operator()(const LeaderHello& message) const
        {
            jobs::LeaderHelloT table;
            table.epoch = message.epoch;
            table.leader = message.leader;
            table.known_generation = message.knownGeneration;
            table.agent = message.agent;
            this->body.Set(std::move(table));
        }

        void operator()(const DescribeRun& message) const
        {
            jobs::DescribeRunT table;
            table.run = pack(message.run);
            table.traits = pack(message.traits);
            this->body.Set(std::move(table));
        }

        void operator()(const StartRun& message) const
        {
            jobs::StartRunT table;
            table.run = pack(message.run);
            table.worker = pack(message.worker);
            table.payload = message.payload;
            table.checkpoint = message.checkpoint;
            table.traits = pack(message.traits);
            table.order = message.order;
            table.word = message.answeredPingAt;
            this->body.Set(std::move(table));
        }

        void operator()(const StopRun& message) const
        {
            jobs::StopRunT table;
            table.run = pack(message.run);
            this->body.Set(std::move(table));
        }

        void operator()(const AcknowledgeEnds& message) const
        {
            jobs::AcknowledgeEndsT table;
            table.worker = pack(message.worker);
            table.up_to = message.upTo;
            this->body.Set(std::move(table));
        }

        void operator()(const Pong& message) const
        {
            jobs::PongT table;
            table.sent_at = message.sentAt;
            this->body.Set(jobs::PongT(table));
        }

        void operator()(const Ping& message) const
        {
            jobs::PingT table;
            table.sent_at = message.sentAt;
            this->body.Set(jobs::PingT(table));
        }

        void operator()(const WorkerSnapshot& message) const
        {
            jobs::WorkerSnapshotT table;
            table.agent = message.agent;
            table.generation = message.generation;
            if (message.worker)
                table.worker = pack(*message.worker);
            table.settled = message.settled;
            table.running = packAll<jobs::StatusT>(message.running);
            table.ended = packAll<jobs::EndT>(message.ended);
            table.pending = packAll<jobs::RunT>(message.pending);
            table.last_order = message.lastOrder;
            this->body.Set(std::move(table));
        }

        void operator()(const RunsEnded& message) const
        {
            jobs::RunsEndedT table;
            table.worker = pack(message.worker);
            table.ends = packAll<jobs::EndT>(message.ends);
            this->body.Set(std::move(table));
        }

        void operator()(const RunRejected& message) const
        {
            jobs::RunRejectedT table;
            table.run = pack(message.run);
            table.reason = message.reason;
            this->body.Set(std::move(table));
        }

        void operator()(const RunProgress& message) const
        {
            jobs::RunProgressT table;
            table.worker = pack(message.worker);
            table.running = packAll<jobs::StatusT>(message.running);
            this->body.Set(std::move(table));
        }
    };

    WorkerSnapshot unpack(const jobs::WorkerSnapshotT& table)
    {
        WorkerSnapshot message { table.agent, table.generation, std::nullopt, table.settled, unpackAll<RunStatus>(table.running), unpackAll<RunEnd>(table.ended), unpackAll<RunId>(table.pending), table.last_order };
        if (table.worker)
            message.worker = unpack(*table.worker);
        return message;
    }

    JobMessage unpack(const jobs::BodyUnion& body)
    {
        switch (body.type) {
        case jobs::Body::LeaderHello:
            return LeaderHello { body.AsLeaderHello()->epoch, body.AsLeaderHello()->leader, body.AsLeaderHello()->known_generation, body.AsLeaderHello()->agent };
        case jobs::Body::DescribeRun:
            return DescribeRun { unpack(required(body.AsDescribeRun()->run)), unpack(required(body.AsDescribeRun()->traits)) };
        case jobs::Body::StartRun: {
            const jobs::StartRunT& table = *body.AsStartRun();
            return StartRun { unpack(required(table.run)), unpack(required(table.worker)), table.payload, table.checkpoint, unpack(required(table.traits)), table.order, table.word };
        }
        case jobs::Body::StopRun:
            return StopRun { unpack(required(body.AsStopRun()->run)) };
        case jobs::Body::AcknowledgeEnds:
            return AcknowledgeEnds { unpack(required(body.AsAcknowledgeEnds()->worker)), body.AsAcknowledgeEnds()->up_to };
        case jobs::Body::Pong:
            return Pong { body.AsPong()->sent_at };
        case jobs::Body::Ping:
            return Ping { body.AsPing()->sent_at };
        case jobs::Body::WorkerSnapshot:
            return unpack(*body.AsWorkerSnapshot());
        case jobs::Body::RunsEnded:
            return RunsEnded { unpack(required(body.AsRunsEnded()->worker)), unpackAll<RunEnd>(body.AsRunsEnded()->ends) };
        case jobs::Body::RunRejected:
            return RunRejected { unpack(required(body.AsRunRejected()->run)), body.AsRunRejected()->reason };
        case jobs::Body::RunProgress:
            return RunProgress { unpack(required(body.AsRunProgress()->worker)), unpackAll<RunStatus>(body.AsRunProgress()->running) };
        case jobs::Body::NONE:
            break;
        }
        refuse("a job message has no body of a known type");
    }

}

std::string encode(const JobMessage& message)
{
    jobs::MessageT table;
    std::visit(BodyPacker { table.body }, message);
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(jobs::Message::Pack(builder, &table));
    return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
}

JobMessage decodeJobMessage(std::string_view payload)
{
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t*>(payload.data()), payload.size(), maximumVerifierDepth, maximumVerifierTables);
    if (!jobs::VerifyMessageBuffer(verifier))
        refuse("a payload of " + std::to_string(payload.size()) + " bytes is not a valid job message");
    jobs::MessageT table;
    jobs::GetMessage(payload.data())->UnPackTo(&table);
    return unpack(table.body);
}

}
