#include "cowslipdoor/scheduling/QueueTable.h"
#include <algorithm>
#include <cowslipdoor/core/Request.h>
#include <functional>
#include <string>
#include <utility>

namespace cowslipdoor {

namespace {

    /// Hash that is the same for hosts that differ only in case.
    std::size_t hashHost(std::string_view host)
    {
        std::string lower(host);
        std::transform(lower.begin(), lower.end(), lower.begin(), [](char letter) { return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter; });
        return std::hash<std::string_view> {}(lower);
    }

    std::size_t combine(std::size_t hostHash, std::string_view prefix)
    {
        constexpr std::size_t multiplier = 0x9E3779B97F4A7C15ULL;
        return hostHash * multiplier + std::hash<std::string_view> {}(prefix);
    }

}

QueueTable::QueueTable(std::initializer_list<QueueRule> queues)
{
    for (const QueueRule& queue : queues)
        this->add(queue);
}

void QueueTable::add(QueueRule queue)
{
    this->positions.emplace(combine(hashHost(queue.host), queue.prefix), static_cast<std::uint32_t>(this->queues.size()));
    this->prefixLengths.insert(queue.prefix.size());
    this->queues.push_back(std::move(queue));
}

const QueueRule* QueueTable::find(std::string_view host, std::string_view path) const
{
    using Position = std::unordered_multimap<std::size_t, std::uint32_t>::const_iterator;
    const std::size_t hostHash = hashHost(host);
    for (std::set<std::size_t>::const_reverse_iterator length = this->prefixLengths.rbegin(); length != this->prefixLengths.rend(); ++length) {
        if (*length > path.size())
            continue;
        const std::string_view prefix = path.substr(0, *length);
        const QueueRule* first = nullptr;
        const std::pair<Position, Position> range = this->positions.equal_range(combine(hostHash, prefix));
        for (Position position = range.first; position != range.second; ++position) {
            const QueueRule& queue = this->queues[position->second];
            const bool matches = queue.prefix == prefix && equalIgnoringCase(queue.host, host);
            if (matches && (!first || &queue < first))
                first = &queue;
        }
        if (first)
            return first;
    }
    return nullptr;
}

}
