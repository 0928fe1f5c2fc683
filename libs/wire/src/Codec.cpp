#include "cowslipdoor/wire/Codec.h"
#include "cowslipdoor/wire/generated/link_generated.h"
#include <cowslipdoor/core/Error.h>
#include <utility>

namespace cowslipdoor::wire {

namespace {

    using flatbuffers::FlatBufferBuilder;
    using flatbuffers::Offset;

    constexpr std::size_t maximumVerifierDepth = 16;
    constexpr std::size_t maximumVerifierTables = 10'000;

    [[noreturn]] void refuse(const std::string& what)
    {
        throw Error(ErrorKind::BadFrame, what);
    }

    fbs::RequestId pack(const RequestId& id)
    {
        return { id.high, id.low };
    }

    fbs::AttemptId pack(const AttemptId& attempt)
    {
        return { static_cast<std::uint64_t>(attempt.claim.entry), attempt.number, attempt.claim.number };
    }

    fbs::Capacity pack(const Capacity& capacity)
    {
        return { capacity.slots, capacity.connections, capacity.milliCores, capacity.memoryMb };
    }

    fbs::Load pack(const Load& load)
    {
        return { pack(load.total), pack(load.free), load.ready, load.draining, load.ledgerComplete };
    }

    RequestId unpack(const fbs::RequestId& id)
    {
        return { id.high(), id.low() };
    }

    AttemptId unpack(const fbs::AttemptId& attempt)
    {
        return { { Incarnation { attempt.entry() }, attempt.claim() }, attempt.number() };
    }

    Capacity unpack(const fbs::Capacity& capacity)
    {
        return { capacity.slots(), capacity.connections(), capacity.milli_cores(), capacity.memory_mb() };
    }

    Load unpack(const fbs::Load& load)
    {
        return { unpack(load.total()), unpack(load.free()), load.ready(), load.draining(), load.ledger_complete() };
    }

    Duration unpackDuration(std::uint64_t microseconds)
    {
        const std::uint64_t longest = static_cast<std::uint64_t>(Duration(std::chrono::hours(48)).count());
        if (microseconds > longest)
            refuse("a duration is over 48 hours");
        return Duration(static_cast<Duration::rep>(microseconds));
    }

    template <typename Enumeration>
    Enumeration unpackEnumeration(std::uint8_t value, Enumeration last)
    {
        if (value > static_cast<std::uint8_t>(last))
            refuse("an enumeration has the unknown value " + std::to_string(value));
        return static_cast<Enumeration>(value);
    }

    using PackedHeaders = Offset<flatbuffers::Vector<Offset<fbs::Header>>>;
    using PackedBody = Offset<flatbuffers::Vector<std::uint8_t>>;

    PackedHeaders pack(FlatBufferBuilder& builder, const std::vector<Header>& headers)
    {
        std::vector<Offset<fbs::Header>> offsets;
        offsets.reserve(headers.size());
        for (const Header& header : headers)
            offsets.push_back(fbs::CreateHeader(builder, builder.CreateString(header.name), builder.CreateString(header.value)));
        return builder.CreateVector(offsets);
    }

    PackedBody pack(FlatBufferBuilder& builder, const Bytes& body)
    {
        const std::string_view view = body.view();
        return builder.CreateVector(reinterpret_cast<const std::uint8_t*>(view.data()), view.size());
    }

    std::vector<Header> unpack(const flatbuffers::Vector<Offset<fbs::Header>>* headers)
    {
        std::vector<Header> result;
        if (!headers)
            return result;
        result.reserve(headers->size());
        for (const fbs::Header* header : *headers)
            result.push_back({ header->name()->str(), header->value()->str() });
        return result;
    }

    Bytes unpack(const flatbuffers::Vector<std::uint8_t>* body)
    {
        return body ? Bytes(std::string(reinterpret_cast<const char*>(body->data()), body->size())) : Bytes();
    }

    using PackedCompletion = std::pair<fbs::Completion, Offset<void>>;

    struct CompletionPacker {
        FlatBufferBuilder& builder;

        PackedCompletion operator()(const Response& response) const
        {
            const PackedHeaders headers = pack(this->builder, response.headers);
            const PackedBody body = pack(this->builder, response.body);
            return { fbs::Completion::Response, fbs::CreateResponse(this->builder, response.status, headers, body).Union() };
        }

        PackedCompletion operator()(const FailureReason& reason) const
        {
            const Offset<flatbuffers::String> detail = this->builder.CreateString(reason.detail);
            return { fbs::Completion::Failure, fbs::CreateFailure(this->builder, static_cast<std::uint8_t>(reason.kind), detail).Union() };
        }
    };

    Completion unpackCompletion(fbs::Completion type, const void* completion)
    {
        if (type == fbs::Completion::Response) {
            const fbs::Response* const response = static_cast<const fbs::Response*>(completion);
            return Response { response->status(), unpack(response->headers()), unpack(response->body()) };
        }
        if (type != fbs::Completion::Failure)
            refuse("an answer has neither a response nor a failure");
        const fbs::Failure* const failure = static_cast<const fbs::Failure*>(completion);
        return FailureReason { unpackEnumeration(failure->kind(), ErrorKind::Internal), failure->detail()->str() };
    }

    using PackedMessage = std::pair<fbs::Message, Offset<void>>;

    struct MessagePacker {
        FlatBufferBuilder& builder;

        PackedMessage operator()(const Hello& message) const
        {
            const Offset<flatbuffers::String> agent = this->builder.CreateString(message.agent);
            const Offset<flatbuffers::String> failureDomain = this->builder.CreateString(message.failureDomain);
            const fbs::Load load = pack(message.load);
            const std::uint64_t incarnation = static_cast<std::uint64_t>(message.incarnation);
            return { fbs::Message::Hello, fbs::CreateHello(this->builder, agent, incarnation, failureDomain, message.rulesVersion, &load, message.agentsKnown).Union() };
        }

        PackedMessage operator()(const Welcome& message) const
        {
            const Offset<flatbuffers::String> entry = this->builder.CreateString(message.entry);
            const std::uint64_t incarnation = static_cast<std::uint64_t>(message.incarnation);
            const std::uint64_t heartbeat = static_cast<std::uint64_t>(message.heartbeatInterval.count());
            return { fbs::Message::Welcome, fbs::CreateWelcome(this->builder, entry, incarnation, message.rulesVersion, heartbeat, message.agentsKnown).Union() };
        }

        PackedMessage operator()(const DispatchRequest& message) const
        {
            const fbs::RequestId id = pack(message.id);
            const fbs::AttemptId attempt = pack(message.attempt);
            const fbs::Capacity demand = pack(message.demand);
            const Offset<flatbuffers::String> method = this->builder.CreateString(message.head.method);
            const Offset<flatbuffers::String> target = this->builder.CreateString(message.head.target);
            const Offset<flatbuffers::String> user = this->builder.CreateString(message.head.user);
            const PackedHeaders headers = pack(this->builder, message.head.headers);
            const PackedBody body = pack(this->builder, message.body);
            const std::uint64_t budget = static_cast<std::uint64_t>(std::max(message.budget, Duration::zero()).count());
            return { fbs::Message::DispatchRequest,
                fbs::CreateDispatchRequest(this->builder, &id, &attempt, static_cast<std::uint8_t>(message.trafficClass), budget, &demand,
                    message.reserveSlots, method, target, user, headers, body)
                    .Union() };
        }

        PackedMessage operator()(const Answer& message) const
        {
            const fbs::RequestId id = pack(message.id);
            const fbs::AttemptId attempt = pack(message.attempt);
            const fbs::Load load = pack(message.load);
            const PackedCompletion completion = std::visit(CompletionPacker { this->builder }, message.completion);
            return { fbs::Message::Answer, fbs::CreateAnswer(this->builder, &id, &attempt, completion.first, completion.second, &load).Union() };
        }

        PackedMessage operator()(const Cancel& message) const
        {
            const fbs::RequestId id = pack(message.id);
            const fbs::AttemptId attempt = pack(message.attempt);
            return { fbs::Message::Cancel, fbs::CreateCancel(this->builder, &id, &attempt).Union() };
        }

        PackedMessage operator()(const Inquiry& message) const
        {
            const fbs::RequestId id = pack(message.id);
            const fbs::AttemptId attempt = pack(message.attempt);
            return { fbs::Message::Inquiry, fbs::CreateInquiry(this->builder, &id, &attempt, message.fence).Union() };
        }

        PackedMessage operator()(const Report& message) const
        {
            const fbs::RequestId id = pack(message.id);
            const fbs::AttemptId attempt = pack(message.attempt);
            const PackedCompletion completion = message.completion
                ? std::visit(CompletionPacker { this->builder }, *message.completion)
                : PackedCompletion { fbs::Completion::NONE, 0 };
            const std::uint8_t state = static_cast<std::uint8_t>(message.state);
            return { fbs::Message::Report, fbs::CreateReport(this->builder, &id, &attempt, state, completion.first, completion.second).Union() };
        }

        PackedMessage operator()(const Release& message) const
        {
            const fbs::RequestId id = pack(message.id);
            const fbs::AttemptId attempt = pack(message.attempt);
            return { fbs::Message::Release, fbs::CreateRelease(this->builder, &id, &attempt).Union() };
        }

        PackedMessage operator()(const LoadReport& message) const
        {
            const fbs::Load load = pack(message.load);
            return { fbs::Message::LoadReport, fbs::CreateLoadReport(this->builder, &load, message.rulesVersion).Union() };
        }

        PackedMessage operator()(const Heartbeat& message) const
        {
            return { fbs::Message::Heartbeat, fbs::CreateHeartbeat(this->builder, message.rulesVersion, message.agentsKnown).Union() };
        }

        PackedMessage operator()(const RulesUpdate& message) const
        {
            const Offset<flatbuffers::String> text = this->builder.CreateString(message.text);
            return { fbs::Message::RulesUpdate, fbs::CreateRulesUpdate(this->builder, message.version, text).Union() };
        }
    };

    LinkMessage unpack(const fbs::Hello& message)
    {
        return Hello { message.agent()->str(), Incarnation { message.incarnation() }, message.failure_domain()->str(), message.rules_version(), unpack(*message.load()), message.agents_known() };
    }

    LinkMessage unpack(const fbs::Welcome& message)
    {
        return Welcome { message.entry()->str(), Incarnation { message.incarnation() }, message.rules_version(), unpackDuration(message.heartbeat_us()), message.agents_known() };
    }

    LinkMessage unpack(const fbs::DispatchRequest& message)
    {
        return DispatchRequest {
            .id = unpack(*message.id()),
            .attempt = unpack(*message.attempt()),
            .trafficClass = unpackEnumeration(message.traffic_class(), TrafficClass::Tally),
            .budget = unpackDuration(message.budget_us()),
            .demand = unpack(*message.demand()),
            .reserveSlots = message.reserve_slots(),
            .head = { message.method()->str(), message.target()->str(), message.user()->str(), unpack(message.headers()) },
            .body = unpack(message.body()),
        };
    }

    LinkMessage unpack(const fbs::Answer& message)
    {
        return Answer { unpack(*message.id()), unpack(*message.attempt()),
            unpackCompletion(message.completion_type(), message.completion()), unpack(*message.load()) };
    }

    LinkMessage unpack(const fbs::Cancel& message)
    {
        return Cancel { unpack(*message.id()), unpack(*message.attempt()) };
    }

    LinkMessage unpack(const fbs::Inquiry& message)
    {
        return Inquiry { unpack(*message.id()), unpack(*message.attempt()), message.fence() };
    }

    LinkMessage unpack(const fbs::Report& message)
    {
        const std::optional<Completion> completion = message.completion_type() == fbs::Completion::NONE
            ? std::nullopt
            : std::optional<Completion>(unpackCompletion(message.completion_type(), message.completion()));
        return Report { unpack(*message.id()), unpack(*message.attempt()), unpackEnumeration(message.state(), RequestState::Forgotten), completion };
    }

    LinkMessage unpack(const fbs::Release& message)
    {
        return Release { unpack(*message.id()), unpack(*message.attempt()) };
    }

    LinkMessage unpack(const fbs::LoadReport& message)
    {
        return LoadReport { unpack(*message.load()), message.rules_version() };
    }

    LinkMessage unpack(const fbs::Heartbeat& message)
    {
        return Heartbeat { message.rules_version(), message.agents_known() };
    }

    LinkMessage unpack(const fbs::RulesUpdate& message)
    {
        return RulesUpdate { message.version(), message.text()->str() };
    }

    LinkMessage unpack(const fbs::Envelope& envelope)
    {
        switch (envelope.message_type()) {
        case fbs::Message::Hello:
            return unpack(*envelope.message_as_Hello());
        case fbs::Message::Welcome:
            return unpack(*envelope.message_as_Welcome());
        case fbs::Message::DispatchRequest:
            return unpack(*envelope.message_as_DispatchRequest());
        case fbs::Message::Answer:
            return unpack(*envelope.message_as_Answer());
        case fbs::Message::Cancel:
            return unpack(*envelope.message_as_Cancel());
        case fbs::Message::Inquiry:
            return unpack(*envelope.message_as_Inquiry());
        case fbs::Message::Report:
            return unpack(*envelope.message_as_Report());
        case fbs::Message::LoadReport:
            return unpack(*envelope.message_as_LoadReport());
        case fbs::Message::Heartbeat:
            return unpack(*envelope.message_as_Heartbeat());
        case fbs::Message::RulesUpdate:
            return unpack(*envelope.message_as_RulesUpdate());
        case fbs::Message::Release:
            return unpack(*envelope.message_as_Release());
        case fbs::Message::NONE:
            break;
        }
        refuse("an envelope has no message of a known type");
    }

}

std::string encode(const LinkMessage& message)
{
    FlatBufferBuilder builder;
    const PackedMessage packed = std::visit(MessagePacker { builder }, message);
    builder.Finish(fbs::CreateEnvelope(builder, packed.first, packed.second));
    return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
}

LinkMessage decode(std::string_view payload)
{
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t*>(payload.data()), payload.size(), maximumVerifierDepth, maximumVerifierTables);
    if (!fbs::VerifyEnvelopeBuffer(verifier))
        refuse("a payload of " + std::to_string(payload.size()) + " bytes is not a valid envelope");
    return unpack(*fbs::GetEnvelope(payload.data()));
}

}
