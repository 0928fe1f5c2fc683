#pragma once

/// @file
/// @brief Benchmarks; each prints its results to standard output.

#include <string>

namespace cowslipdoor::bench {

/// @brief Measures the time of routing decisions with 10, 100 and 1,000 agents, and the ratios to 10 agents.
void runDecisionBench();

/// @brief Measures throughput and latency through entry and agent, compared with direct requests to the stand-in upstreams.
/// @param folder folder for logs and the rules file; created if it is missing
void runPathBench(const std::string& folder);

/// @brief Measures control traffic, processor time and memory of an idle deployment with 1, 10, 40 and 120 agents.
/// @param folder prefix of the folders for logs and rules files, one folder for each number of agents
void runControlBench(const std::string& folder);

}
