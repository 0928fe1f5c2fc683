#pragma once

/// @file
/// @brief Benches; each prints its figures, with ratios within one run.

#include <string>

namespace cowslipdoor::bench {

/// @brief Cost of decisions with 10, 100 and 1,000 agents.
void runDecisionBench();

/// @brief Requests per second and latency of the whole path against the stand-in upstream asked directly.
/// @param folder folder for logs
void runPathBench(const std::string& folder);

/// @brief Bytes and processor time of control at rest, by number of agents.
/// @param folder folder for logs
void runControlBench(const std::string& folder);

}
