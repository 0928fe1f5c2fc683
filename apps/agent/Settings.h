#pragma once

/// @file
/// @brief Settings of an agent that serves requests.

#include <cowslipdoor/runtime/Settings.h>
#include <vector>

namespace cowslipdoor::agent {

/// @return all settings of `cowslipdoor-agent`, including those that all programs share
[[nodiscard]] std::vector<runtime::SettingSpec> agentSettings();

}
