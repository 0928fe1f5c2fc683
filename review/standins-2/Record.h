#pragma once

/// @file
/// @brief Record of a case: what was sent, answered and run.

#include <fstream>
#include <mutex>
#include <string>

namespace review {

/// @brief Writes lines with the time since the start to a file.
class Record {
public:
    /// @param path path of the file, which is replaced
    explicit Record(const std::string& path);

    /// @brief Writes a line.
    /// @param text the line without its time
    void line(const std::string& text);

private:
    std::mutex mutex;
    std::ofstream file;
};

}
