#pragma once

/// @file
/// @brief Settings of cowslipdoor-agent.

#include <cowslipdoor/runtime/Settings.h>
#include <vector>

namespace cowslipdoor::agent {

/// @return every setting of the program
[[nodiscard]] std::vector<runtime::SettingSpec> agentSettings();

}
