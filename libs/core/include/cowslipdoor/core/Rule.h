#pragma once

/// @file
/// @brief Rules that operators set for requests, and versioned sets of rules.

#include "Error.h"
#include "Request.h"
#include "Resources.h"
#include "Time.h"
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipdoor {

/// @brief Conditions on a request; an empty condition is met by every request.
struct RuleSelector {
    std::string path;
    std::string method;
    std::string headerName;
    std::string headerValue;
    std::string user;

    bool operator==(const RuleSelector&) const = default;

    /// @param head request
    /// @return whether the request meets all conditions
    [[nodiscard]] bool selects(const RequestHead& head) const noexcept;
};

/// @brief Service-level objective: share of requests that are answered within a latency.
struct Objective {
    std::uint32_t perMillion = 0;
    Duration latency {};

    bool operator==(const Objective&) const = default;
};

/// @brief One line of the rules file.
struct Rule {
    std::string name;
    RuleSelector selector;
    TrafficClass trafficClass = TrafficClass::Quick;
    Duration deadline = std::chrono::seconds(1);
    std::optional<Objective> objective;
    /// Slots that batch requests leave free on each VM.
    std::uint32_t reserveSlots = 0;
    std::uint32_t retries = 1;
    Capacity demand = defaultDemand;
    std::string team;
    std::uint32_t share = 1;
    /// Maximum number of the team's requests in progress.
    std::optional<std::uint32_t> quota;
    /// Who asked for the rule and why, from the comment of its line.
    std::string requester;
    std::string reason;

    bool operator==(const Rule&) const = default;
};

/// @brief Immutable set of rules with its version and source text.
class RuleSet {
public:
    /// @brief Creates an empty set with version 0.
    RuleSet() = default;

    /// @param version version that the rules file states
    /// @param rules rules in the order of the file
    /// @param text complete text of the file, with its comments
    RuleSet(std::uint64_t version, std::vector<Rule> rules, std::string text);

    /// @return the version; a set with a greater version replaces one with a smaller version
    [[nodiscard]] std::uint64_t version() const noexcept { return this->versionNumber; }

    /// @return the rules in the order of the file
    [[nodiscard]] const std::vector<Rule>& rules() const noexcept { return this->ruleList; }

    /// @return the text of the rules file, byte for byte
    [[nodiscard]] const std::string& text() const noexcept { return this->sourceText; }

    /// @brief Finds the first rule that selects a request.
    /// @param head request
    /// @return the rule, valid as long as the set, or nullptr
    [[nodiscard]] const Rule* match(const RequestHead& head) const noexcept;

    /// @return the number of slots that batch requests leave free on each VM: the sum of all reserves
    [[nodiscard]] std::uint32_t reserveSlots() const noexcept;

    [[nodiscard]] bool operator==(const RuleSet&) const = default;

private:
    std::uint64_t versionNumber = 0;
    std::vector<Rule> ruleList;
    std::string sourceText;
};

}
