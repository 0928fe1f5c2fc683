#include "SubmittedJob.h"

namespace cowslipdoor::soak {

namespace {

    constexpr unsigned statusStored = 200;

    bool mayEndAs(Cancellation cancellation, const std::string& state)
    {
        return state == "done" || (cancellation != Cancellation::None && state == "cancelled");
    }

}

Cancellation cancellationOf(unsigned status, const nlohmann::json& body)
{
    if (status == statusStored)
        return Cancellation::Acknowledged;
    const bool notStored = body.is_object() && body.contains("outcome") && body.at("outcome") == "not run";
    return notStored ? Cancellation::None : Cancellation::Possible;
}

std::optional<std::string> violationOf(const SubmittedJob& submitted, const std::string& state, std::size_t ended)
{
    if (state == "done" && ended != submitted.tasks)
        return "job " + submitted.job + " is done after " + std::to_string(ended) + " of " + std::to_string(submitted.tasks) + " tasks";
    if (!mayEndAs(submitted.cancellation, state))
        return "job " + submitted.job + " was accepted but is " + state;
    return std::nullopt;
}

}
