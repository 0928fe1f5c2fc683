#include "cowslipdoor/scheduling/Configuration.h"
#include <cowslipdoor/core/Request.h>

namespace cowslipdoor {

const QueueRule* Configuration::queueOf(std::string_view host, std::string_view path) const
{
    const std::string_view name = host.substr(0, host.find(':'));
    const QueueRule* best = nullptr;
    for (const QueueRule& queue : this->queues) {
        if (!equalIgnoringCase(queue.host, name) || !path.starts_with(queue.prefix))
            continue;
        if (!best || queue.prefix.size() > best->prefix.size())
            best = &queue;
    }
    return best;
}

}
