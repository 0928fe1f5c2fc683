#include "RulesFile.h"
#include <cowslipdoor/core/Error.h>
#include <fstream>

namespace cowslipdoor::entry {

std::string readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::string text(maximumRulesBytes + 1, '\0');
    if (!file || !file.read(text.data(), static_cast<std::streamsize>(text.size())).eof())
        throw Error(ErrorKind::BadRules, path + ": cannot be read as a file of at most 1 MiB");
    text.resize(static_cast<std::size_t>(file.gcount()));
    return text;
}

RuleSet readRulesFile(const std::string& path)
{
    const RulesParseResult result = parseRules(readFile(path));
    std::string faults;
    for (const TextFault& fault : result.faults)
        faults += (faults.empty() ? "" : "\n") + printFault(path, fault);
    if (!result.ok())
        throw Error(ErrorKind::BadRules, faults);
    return result.rules;
}

}
