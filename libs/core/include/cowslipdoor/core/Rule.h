#pragma once

/// @file
/// @brief A rule of the operators, and the versioned set in force.

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

/// @brief Which requests a rule selects; an empty text selects all.
struct RuleSelector {
    std::string path;
    std::string method;
    std::string headerName;
    std::string headerValue;
    std::string user;

    bool operator==(const RuleSelector&) const = default;

    /// @param head the request
    /// @return whether the request has everything that the selector names
    [[nodiscard]] bool selects(const RequestHead& head) const noexcept;
};

/// @brief Service-level objective: a share of answers within a latency.
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
    std::uint32_t reserveSlots = 0;
    std::uint32_t retries = 1;
    Capacity demand = defaultDemand;
    std::string team;
    std::uint32_t share = 1;
    std::optional<std::uint32_t> quota;
    std::string requester;
    std::string reason;

    bool operator==(const Rule&) const = default;
};

/// @brief Immutable set of rules with its version and the text that it was read from.
class RuleSet {
public:
    /// @brief Makes the empty set, version 0.
    RuleSet() = default;

    /// @param version version that the file states
    /// @param rules rules in the order of the file
    /// @param text the file, whole, with its comments
    RuleSet(std::uint64_t version, std::vector<Rule> rules, std::string text);

    /// @return the version; greater versions replace smaller ones
    [[nodiscard]] std::uint64_t version() const noexcept { return this->versionNumber; }

    /// @return the rules in order
    [[nodiscard]] const std::vector<Rule>& rules() const noexcept { return this->ruleList; }

    /// @return the text, to the byte as the operator wrote it
    [[nodiscard]] const std::string& text() const noexcept { return this->sourceText; }

    /// @brief Finds the first rule that selects a request.
    /// @param head the request
    /// @return the rule, or nullptr; valid while the set lives
    [[nodiscard]] const Rule* match(const RequestHead& head) const noexcept;

    /// @return the number of slots that batch work leaves free on each VM
    [[nodiscard]] std::uint32_t reserveSlots() const noexcept;

    [[nodiscard]] bool operator==(const RuleSet&) const = default;

private:
    std::uint64_t versionNumber = 0;
    std::vector<Rule> ruleList;
    std::string sourceText;
};

}
