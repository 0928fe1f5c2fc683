#pragma once

#include <cstdio>
#include <string>
#include <unistd.h>

namespace cowslipdoor::runtime {

/// Calls a function and returns what it wrote to standard output.
template <typename Body>
std::string outputOf(const Body& body)
{
    std::FILE* const file = std::tmpfile();
    std::fflush(stdout);
    const int saved = ::dup(STDOUT_FILENO);
    ::dup2(::fileno(file), STDOUT_FILENO);
    body();
    std::fflush(stdout);
    ::dup2(saved, STDOUT_FILENO);
    ::close(saved);
    std::string text(static_cast<std::size_t>(std::ftell(file)), '\0');
    std::rewind(file);
    text.resize(std::fread(text.data(), 1, text.size(), file));
    std::fclose(file);
    return text;
}

}
