#include "cowslipdoor/scheduling/Configuration.h"

namespace cowslipdoor {

const QueueRule* Configuration::queueOf(std::string_view host, std::string_view path) const
{
    return this->queues.find(host.substr(0, host.find(':')), path);
}

}
