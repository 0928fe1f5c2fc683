#include "cowslipdoor/scheduling/Worker.h"
#include <algorithm>

namespace cowslipdoor {

double slackOf(std::uint32_t tailMs, Duration target) noexcept
{
    return static_cast<double>(toMilliseconds(target)) / static_cast<double>(std::max(1U, tailMs));
}

double PaceTraits::lossFor(const std::string& serving) const
{
    double worst = 0;
    for (const SlackLoss& item : this->losses) {
        if (item.image == serving)
            return item.loss;
        worst = std::max(worst, item.loss);
    }
    return worst;
}

}
