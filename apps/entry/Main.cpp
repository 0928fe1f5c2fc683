#include "Commands.h"
#include <cowslipdoor/runtime/Process.h>

int main(int count, char** words)
{
    const std::vector<std::string> arguments(words + 1, words + count);
    return cowslipdoor::runtime::guardedMain("cowslipdoor", [&arguments]() { return cowslipdoor::entry::runCommand(arguments); });
}
