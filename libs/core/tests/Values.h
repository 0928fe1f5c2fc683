#pragma once

/// @file
/// @brief Values and helpers shared by the tests of the core.

#include <cowslipdoor/core/Announcement.h>
#include <cowslipdoor/core/EntryMachine.h>
#include <cowslipdoor/core/RulesText.h>
#include <string>
#include <vector>

namespace cowslipdoor::tests {

constexpr TimePoint origin { std::chrono::hours(1) };
constexpr Capacity eightSlots { .slots = 8, .connections = 64, .milliCores = 32000, .memoryMb = 125000 };

inline const std::string threeRules = "version 1\n"
                                      "rule quick path=/quick* class=quick deadline=300ms reserve=2 retry=2 # Siti: gangs wait\n"
                                      "rule batch path=/batch* class=batch deadline=30s # Siti: rain shifts the plan\n"
                                      "rule tally path=/tally* class=tally deadline=2s # Ahmad: no member is paid twice\n";

inline RuleSet rulesOf(const std::string& text)
{
    return parseRules(text).rules;
}

inline RequestHead headOf(const std::string& target, const std::string& key = "")
{
    std::vector<Header> headers;
    if (!key.empty())
        headers.push_back({ "Idempotency-Key", key });
    return { "POST", target, "siti", headers };
}

inline Announcement announcementOf(std::uint64_t sequence, AnnouncementToken echo, const std::vector<RunningWork>& running = {}, Capacity capacity = eightSlots)
{
    return {
        .instance = 1,
        .sequence = sequence,
        .echo = echo,
        .address = "127.0.0.1:1",
        .failureDomain = "chuping",
        .capacity = capacity,
        .classes = {},
        .running = running,
    };
}

template <typename Wanted, typename Effect>
std::vector<Wanted> only(const std::vector<Effect>& effects)
{
    std::vector<Wanted> found;
    for (const Effect& effect : effects) {
        const Wanted* const wanted = std::get_if<Wanted>(&effect);
        if (wanted)
            found.push_back(*wanted);
    }
    return found;
}

template <typename Message, typename Effect>
std::vector<Message> sent(const std::vector<Effect>& effects)
{
    std::vector<Message> found;
    for (const SendToLink& send : only<SendToLink>(effects)) {
        const Message* const message = std::get_if<Message>(&send.message);
        if (message)
            found.push_back(*message);
    }
    return found;
}

}
