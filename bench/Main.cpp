#include "Bench.h"
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <unistd.h>

int main()
{
    const std::string folder = std::filesystem::temp_directory_path() / ("cowslipdoor-bench-" + std::to_string(::getpid()));
    try {
        cowslipdoor::bench::runDecisionBench();
        cowslipdoor::bench::runPathBench(folder);
        cowslipdoor::bench::runControlBench(folder);
    } catch (const std::exception& error) {
        std::cerr << "bench: " << error.what() << "\n";
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
