#include "TextTable.h"
#include <algorithm>
#include <iomanip>
#include <sstream>

namespace cowslipdoor::entry {

std::string printTable(const std::vector<TableRow>& rows)
{
    std::vector<std::size_t> widths(rows.front().size(), 0);
    for (const TableRow& row : rows) {
        for (std::size_t cell = 0; cell < row.size(); ++cell)
            widths[cell] = std::max(widths[cell], row[cell].size());
    }
    std::ostringstream text;
    for (const TableRow& row : rows) {
        for (std::size_t cell = 0; cell < row.size(); ++cell)
            text << (cell == 0 ? "" : "  ") << std::left << std::setw(static_cast<int>(widths[cell])) << row[cell];
        text << "\n";
    }
    return text.str();
}

std::string fixedText(double value, int digits)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(digits) << value;
    return text.str();
}

}
