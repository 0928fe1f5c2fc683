#pragma once

/// @file
/// @brief Text tables for the output of commands.

#include <string>
#include <vector>

namespace cowslipdoor::entry {

/// @brief Cells of one row, from left to right.
using TableRow = std::vector<std::string>;

/// @param rows at least one row, the header first; all rows have the same number of cells
/// @return one line for each row; each column is as wide as its widest cell
[[nodiscard]] std::string printTable(const std::vector<TableRow>& rows);

/// @param value number to format
/// @param digits digits after the decimal point
/// @return the number in fixed notation
[[nodiscard]] std::string fixedText(double value, int digits);

}
