#pragma once

/// @file
/// @brief Parsing of rules files, with source positions, and printing of rules.

#include "Error.h"
#include "Rule.h"
#include <string>
#include <string_view>
#include <vector>

namespace cowslipdoor {

/// @brief Error found in a rules file.
struct TextFault {
    SourcePosition position;
    std::string message;
    std::string expected;

    bool operator==(const TextFault&) const = default;
};

/// @brief Result of parsing a rules file.
struct RulesParseResult {
    RuleSet rules;
    std::vector<TextFault> faults;

    /// @return whether the file has no errors, so that its rules can be put in force
    [[nodiscard]] bool ok() const noexcept { return this->faults.empty(); }
};

/// @brief Maximum size of a rules file, in bytes.
constexpr std::size_t maximumRulesBytes = 1024 * 1024;

/// @brief Parses a rules file and collects all its errors.
/// @param text complete text of the file
/// @return the rules, and the errors in the order of the file; invalid text raises no exception
/// @code
/// const RulesParseResult result = parseRules("version 1\nrule all class=quick # Siti: callers wait for the answer\n");
/// @endcode
[[nodiscard]] RulesParseResult parseRules(std::string_view text);

/// @brief Prints an objective as in a rules file.
/// @param objective objective to print
/// @return its text, such as 99.9%<200ms
[[nodiscard]] std::string printObjective(const Objective& objective);

/// @brief Prints a rule as one line of a rules file, with its comment.
/// @param rule rule to print
/// @return a line without a line end, which parseRules() parses to the same rule
[[nodiscard]] std::string printRule(const Rule& rule);

/// @brief Prints an error as "FILE:LINE:COLUMN: message; expected ...".
/// @param file file name to print
/// @param fault error to print
/// @return one line without a line end
[[nodiscard]] std::string printFault(std::string_view file, const TextFault& fault);

}
