#pragma once

/// @file
/// @brief Memory of processes under test.

#include <cstddef>
#include <fstream>
#include <string>
#include <sys/types.h>

namespace cowslipdoor {

/// @param process a running process
/// @return the greatest memory that it has used, in megabytes, or zero if it has ended
inline std::size_t peakMemoryMb(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string word; status >> word;) {
        std::size_t kilobytes = 0;
        if (word == "VmHWM:" && status >> kilobytes)
            return kilobytes / 1024;
    }
    return 0;
}

}
