#include "Settings.h"
#include <cowslipdoor/runtime/Process.h>

namespace cowslipdoor::agent {

std::vector<runtime::SettingSpec> agentSettings()
{
    using namespace runtime;
    const std::vector<SettingSpec> own {
        { "entries", AddressListSetting {}, std::nullopt, "Link addresses of the entries." },
        { "links", NumberSetting { 1, 64 }, "4", "Maximum number of links to entries; the entries are chosen by rendezvous hashing of the name." },
        { "silence-limit", DurationSetting { std::chrono::milliseconds(500), std::chrono::minutes(10) }, "4s", "Shortest time without frames after which a link is closed." },
        { "repeat-window", DurationSetting { std::chrono::seconds(1), std::chrono::hours(1) }, "30s", "Longest time within which a balancer or caller repeats a non-idempotent request." },
        { "announce-interval", DurationSetting { std::chrono::milliseconds(50), std::chrono::minutes(1) }, "1s", "Interval at which the upstream is asked to announce itself." },
        { "connect-limit", DurationSetting { std::chrono::milliseconds(10), std::chrono::minutes(1) }, "500ms", "Timeout for connecting to the upstream." },
        { "answer-limit", NumberSetting { 1024, 7 * 1024 * 1024 }, "4194304", "Largest body of an upstream's answer, in bytes." },
        receiveLimitSetting(std::uint64_t { 1 } * 1024 * 1024, std::uint64_t { 12 } * 1024 * 1024),
        { "drain-linger", DurationSetting { std::chrono::milliseconds(0), std::chrono::minutes(1) }, "500ms", "Time for which a draining agent still refuses requests after its last call has ended." },
    };
    return joinSettings(commonSettings(), joinSettings(httpSettings(), own));
}

}
