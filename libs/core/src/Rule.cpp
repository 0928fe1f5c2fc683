#include "cowslipdoor/core/Rule.h"
#include <utility>

namespace cowslipdoor {

namespace {

    bool matchesPath(std::string_view pattern, std::string_view path) noexcept
    {
        if (pattern.empty())
            return true;
        if (pattern.back() != '*')
            return pattern == path;
        return path.starts_with(pattern.substr(0, pattern.size() - 1));
    }

}

bool RuleSelector::selects(const RequestHead& head) const noexcept
{
    if (!matchesPath(this->path, head.path()))
        return false;
    if (!this->method.empty() && this->method != head.method)
        return false;
    if (!this->user.empty() && this->user != head.user)
        return false;
    return this->headerName.empty() || head.header(this->headerName) == this->headerValue;
}

RuleSet::RuleSet(std::uint64_t version, std::vector<Rule> rules, std::string text)
    : versionNumber(version)
    , ruleList(std::move(rules))
    , sourceText(std::move(text))
{
}

const Rule* RuleSet::match(const RequestHead& head) const noexcept
{
    for (const Rule& rule : this->ruleList) {
        if (rule.selector.selects(head))
            return &rule;
    }
    return nullptr;
}

std::uint32_t RuleSet::reserveSlots() const noexcept
{
    std::uint32_t sum = 0;
    for (const Rule& rule : this->ruleList)
        sum += rule.reserveSlots;
    return sum;
}

}
