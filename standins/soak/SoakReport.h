#pragma once

/// @file
/// @brief Result of a soak.

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace cowslipdoor::soak {

/// @brief Violated guarantees, and how much was checked.
struct SoakReport {
    /// Number of sent requests or accepted jobs whose results were checked.
    std::uint64_t checked = 0;
    /// Number of planned faults.
    std::uint64_t faults = 0;
    /// Violations, one line each.
    std::vector<std::string> violations;

    bool operator==(const SoakReport&) const = default;

    /// @brief Adds a violation unless the same line is already present.
    /// @param line description of the violation
    void add(const std::string& line)
    {
        if (std::find(this->violations.begin(), this->violations.end(), line) == this->violations.end())
            this->violations.push_back(line);
    }
};

}
