#include "Record.h"
#include "Http.h"

namespace review {

Record::Record(const std::string& path)
    : file(path, std::ios::trunc)
{
}

void Record::line(const std::string& text)
{
    const std::scoped_lock lock(this->mutex);
    this->file << nowMs() << " ms  " << text << std::endl;
}

}
