#include "cowslipdoor/runtime/Log.h"
#include <cowslipdoor/core/Error.h>
#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <utility>

namespace cowslipdoor::runtime {

namespace {

    /// Capacity of the queue in lines: a few seconds of a leader's log at its busiest.
    constexpr std::size_t maximumQueuedLines = 4096;

    spdlog::level::level_enum toSpdlog(EventLevel level) noexcept
    {
        switch (level) {
        case EventLevel::Debug:
            return spdlog::level::debug;
        case EventLevel::Info:
            return spdlog::level::info;
        case EventLevel::Warning:
            return spdlog::level::warn;
        case EventLevel::Error:
            break;
        }
        return spdlog::level::err;
    }

    /// Returns the fields of a JSON line after the time, which the pattern of the logger writes.
    std::string jsonFields(const EventDescription& event, const std::string& process, std::string_view detail)
    {
        const nlohmann::ordered_json line {
            { "event", static_cast<unsigned>(event.id) },
            { "name", event.name },
            { "level", spdlog::level::to_string_view(toSpdlog(event.level)).data() },
            { "process", process },
            { "detail", detail },
        };
        return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace).substr(1);
    }

}

Log::Log(std::string process, LogForm form, EventLevel minimumLevel)
    : process(std::move(process))
    , form(form)
    , minimumLevel(minimumLevel)
    , writer(std::make_shared<spdlog::details::thread_pool>(maximumQueuedLines, 1))
    , logger(std::make_shared<spdlog::async_logger>("cowslipdoor", std::make_shared<spdlog::sinks::stdout_sink_mt>(), this->writer, spdlog::async_overflow_policy::overrun_oldest))
{
    this->logger->set_level(toSpdlog(minimumLevel));
    this->logger->flush_on(spdlog::level::debug);
    this->logger->set_pattern(form == LogForm::Json ? R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ",%v)" : "%Y-%m-%dT%H:%M:%S.%eZ %l %v", spdlog::pattern_time_type::utc);
}

void Log::record(EventId event, std::string_view detail) const
{
    const EventDescription& description = describe(event);
    if (description.level < this->minimumLevel)
        return;
    if (this->form == LogForm::Json)
        this->logger->log(toSpdlog(description.level), "{}", jsonFields(description, this->process, detail));
    else
        this->logger->log(toSpdlog(description.level), "E{} {} [{}] {}", static_cast<unsigned>(event), description.name, this->process, detail);
}

EventLevel eventLevelFromString(std::string_view text)
{
    if (text == "debug")
        return EventLevel::Debug;
    if (text == "info")
        return EventLevel::Info;
    if (text == "warning")
        return EventLevel::Warning;
    if (text == "error")
        return EventLevel::Error;
    throw Error(ErrorKind::BadSetting, "'" + std::string(text) + "' is not debug, info, warning or error");
}

}
