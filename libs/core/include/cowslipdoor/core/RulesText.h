#pragma once

/// @file
/// @brief The rules file: parsing with source positions, and printing.

#include "Error.h"
#include "Rule.h"
#include <string>
#include <string_view>
#include <vector>

namespace cowslipdoor {

/// @brief One fault of a rules file.
struct TextFault {
    SourcePosition position;
    std::string message;
    std::string expected;

    bool operator==(const TextFault&) const = default;
};

/// @brief What reading a rules file gave.
struct RulesParseResult {
    RuleSet rules;
    std::vector<TextFault> faults;

    /// @return whether the file can be put in force
    [[nodiscard]] bool ok() const noexcept { return this->faults.empty(); }
};

/// @brief Largest rules file, in bytes.
constexpr std::size_t maximumRulesBytes = 1024 * 1024;

/// @brief Reads a rules file and finds every fault in it.
/// @param text the whole file
/// @return the rules, and the faults in the order of the file; never throws on bad text
/// @code
/// const RulesParseResult result = parseRules("version 1\nrule all class=quick # Siti: gangs wait at the roadside\n");
/// @endcode
[[nodiscard]] RulesParseResult parseRules(std::string_view text);

/// @param objective an objective
/// @return its text in a rule, such as 99.9%<200ms
[[nodiscard]] std::string printObjective(const Objective& objective);

/// @brief Writes a rule as one line of a rules file, with its comment.
/// @param rule the rule
/// @return a line without a line end, which parseRules() reads back as the same rule
[[nodiscard]] std::string printRule(const Rule& rule);

/// @brief Writes a fault as "FILE:LINE:COLUMN: message; expected ...".
/// @param file name to show
/// @param fault the fault
/// @return one line without a line end
[[nodiscard]] std::string printFault(std::string_view file, const TextFault& fault);

}
