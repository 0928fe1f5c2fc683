#include "cowslipdoor/core/Rendezvous.h"
#include <algorithm>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace cowslipdoor {

std::uint64_t rendezvousWeight(std::string_view key, std::string_view node) noexcept
{
    const XXH64_hash_t keyHash = XXH3_64bits(key.data(), key.size());
    return XXH3_64bits_withSeed(node.data(), node.size(), keyHash);
}

std::vector<std::string> chooseNodes(std::string_view key, const std::vector<std::string>& nodes, std::size_t count)
{
    std::vector<std::pair<std::uint64_t, std::string>> weighted;
    weighted.reserve(nodes.size());
    for (const std::string& node : nodes)
        weighted.emplace_back(rendezvousWeight(key, node), node);
    std::sort(weighted.rbegin(), weighted.rend());
    std::vector<std::string> chosen;
    for (std::size_t index = 0; index < std::min(count, weighted.size()); ++index)
        chosen.push_back(weighted[index].second);
    return chosen;
}

}
