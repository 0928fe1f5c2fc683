#pragma once

/// @file
/// @brief Queues of a configuration, found by host and path.

#include "QueueRule.h"
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cowslipdoor {

/// @brief List of queues that are found in a time that does not grow with their number.
class QueueTable {
public:
    QueueTable() = default;
    QueueTable(std::initializer_list<QueueRule> queues);

    /// @brief Adds a queue while the table is built.
    void add(QueueRule queue);

    /// @brief Finds the queue of a request: among the queues of the host, the one with the longest matching prefix, and of equal
    /// ones the first.
    /// @param host host that the request names, without a port
    /// @param path path of the request
    /// @return the queue, valid as long as the table is neither changed nor destroyed, or nullptr if no queue matches
    [[nodiscard]] const QueueRule* find(std::string_view host, std::string_view path) const;

    /// @return all queues in the order in which they were added
    [[nodiscard]] const std::vector<QueueRule>& all() const noexcept { return this->queues; }

    [[nodiscard]] std::size_t size() const noexcept { return this->queues.size(); }

    bool operator==(const QueueTable& other) const { return this->queues == other.queues; }

private:
    std::vector<QueueRule> queues;
    /// Positions of the queues by the hash of their host and prefix.
    std::unordered_multimap<std::size_t, std::uint32_t> positions;
    /// Lengths of all prefixes.
    std::set<std::size_t> prefixLengths;
};

}
