#include "cowslipdoor/core/Request.h"
#include <algorithm>

namespace cowslipdoor {

namespace {

    constexpr char lowerCase(char character) noexcept
    {
        return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
    }

}

std::string_view toString(TrafficClass trafficClass) noexcept
{
    switch (trafficClass) {
    case TrafficClass::Quick:
        return "quick";
    case TrafficClass::Batch:
        return "batch";
    case TrafficClass::Watch:
        return "watch";
    case TrafficClass::Tally:
        break;
    }
    return "tally";
}

bool equalIgnoringCase(std::string_view left, std::string_view right) noexcept
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
        [](char one, char other) { return lowerCase(one) == lowerCase(other); });
}

std::string_view findHeader(const std::vector<Header>& headers, std::string_view name) noexcept
{
    for (const Header& header : headers) {
        if (equalIgnoringCase(header.name, name))
            return header.value;
    }
    return {};
}

std::string_view RequestHead::header(std::string_view name) const noexcept
{
    return findHeader(this->headers, name);
}

std::string_view RequestHead::path() const noexcept
{
    const std::string_view target(this->target);
    return target.substr(0, target.find('?'));
}

}
