#pragma once

/// @file
/// @brief Rendezvous hashing: every process ranks the same nodes for the same key in the same order.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipdoor {

/// @brief Weight of a node for a key.
/// @param key key to place
/// @param node name of the node
/// @return a hash that is the same in every process
[[nodiscard]] std::uint64_t rendezvousWeight(std::string_view key, std::string_view node) noexcept;

/// @brief Chooses the nodes that serve a key.
/// @param key key to place
/// @param nodes names of the nodes, in any order and without duplicates
/// @param count number of nodes to choose
/// @return the chosen names by descending weight; fewer than `count` if there are fewer nodes
/// @code
/// const std::vector<std::string> links = chooseNodes("vm-7", { "10.0.0.1:7000", "10.0.0.2:7000" }, 1);
/// @endcode
[[nodiscard]] std::vector<std::string> chooseNodes(std::string_view key, const std::vector<std::string>& nodes, std::size_t count);

}
