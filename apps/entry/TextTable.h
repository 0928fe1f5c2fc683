#pragma once

/// @file
/// @brief Tables of text for commands.

#include <string>
#include <vector>

namespace cowslipdoor::entry {

/// @brief Cells of one row.
using TableRow = std::vector<std::string>;

/// @param rows the rows, the head first; all have as many cells
/// @return one line for each row, each column as wide as its widest cell
[[nodiscard]] std::string printTable(const std::vector<TableRow>& rows);

/// @param value a number
/// @param digits digits after the point
/// @return its text
[[nodiscard]] std::string fixedText(double value, int digits);

}
