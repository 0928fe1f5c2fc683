#pragma once

/// @file
/// @brief What a soak has seen.

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace cowslipdoor::soak {

/// @brief Promises that were broken, each with a line of text, and how much was checked.
struct SoakReport {
    /// Requests or jobs that callers were answered.
    std::uint64_t checked = 0;
    std::uint64_t faults = 0;
    std::vector<std::string> violations;

    bool operator==(const SoakReport&) const = default;

    /// @brief Adds a broken promise, once.
    /// @param line what was seen
    void add(const std::string& line)
    {
        if (std::find(this->violations.begin(), this->violations.end(), line) == this->violations.end())
            this->violations.push_back(line);
    }
};

}
