#include "BurnReport.h"
#include "TextTable.h"
#include <algorithm>
#include <array>
#include <cowslipdoor/core/RulesText.h>
#include <map>
#include <sstream>

namespace cowslipdoor::entry {

namespace {

    /// Window of the report: short for an acute burn, medium for a slow burn, and a whole work shift.
    struct Window {
        std::string_view name;
        std::size_t minutes;
    };

    constexpr std::array<Window, 3> windows { Window { "5 min", 5 }, Window { "1 h", 60 }, Window { "6 h", burnMinutes } };

    std::string percentText(double share)
    {
        constexpr double perCent = 100;
        return fixedText(share * perCent, 2) + "%";
    }

    std::string orDash(const std::string& text)
    {
        return text.empty() ? "-" : text;
    }

    TableRow ruleTableHeader()
    {
        TableRow row { "rule or queue", "asked by", "objective" };
        for (const Window& window : windows) {
            row.push_back(std::string(window.name) + " ended");
            row.emplace_back("missed");
            row.emplace_back("burn");
        }
        return row;
    }

    TableRow rowOf(const BurnSeries& line)
    {
        TableRow row { line.subject.name, orDash(line.subject.requester), line.subject.objective ? printObjective(*line.subject.objective) : "-" };
        for (const Window& window : windows) {
            const BurnCounts counts = line.within(window.minutes);
            const std::optional<double> rate = line.burnRate(window.minutes);
            row.push_back(std::to_string(counts.ended));
            row.push_back(std::to_string(counts.missed));
            row.push_back(rate ? fixedText(*rate, 1) : "-");
        }
        return row;
    }

    std::vector<TableRow> tableOfRules(const std::vector<BurnSeries>& lines)
    {
        std::vector<TableRow> rows { ruleTableHeader() };
        for (const BurnSeries& line : lines)
            rows.push_back(rowOf(line));
        return rows;
    }

    /// Sorted by the number of missed objectives, highest first.
    std::vector<TableRow> tableOfRequesters(const std::vector<BurnSeries>& lines)
    {
        std::map<std::string, BurnCounts> byRequester;
        for (const BurnSeries& line : lines) {
            BurnCounts& sum = byRequester[orDash(line.subject.requester)];
            sum = sum.plus(line.within(burnMinutes));
        }
        std::vector<std::pair<std::string, BurnCounts>> sorted(byRequester.begin(), byRequester.end());
        std::stable_sort(sorted.begin(), sorted.end(), [](const std::pair<std::string, BurnCounts>& left, const std::pair<std::string, BurnCounts>& right) { return left.second.missed > right.second.missed; });
        std::vector<TableRow> rows { { "asked by", std::string(windows.back().name) + " ended", "missed", "share" } };
        for (const std::pair<std::string, BurnCounts>& item : sorted)
            rows.push_back({ item.first, std::to_string(item.second.ended), std::to_string(item.second.missed), percentText(item.second.missedShare()) });
        return rows;
    }

    std::string escaped(std::string_view text)
    {
        std::string result;
        for (const char letter : text) {
            if (letter == '&')
                result += "&amp;";
            else if (letter == '<')
                result += "&lt;";
            else if (letter == '>')
                result += "&gt;";
            else
                result += letter;
        }
        return result;
    }

    std::string printHtml(const std::vector<TableRow>& rows)
    {
        std::string text = "<table>\n";
        for (std::size_t row = 0; row < rows.size(); ++row) {
            text += "<tr>";
            for (const std::string& cell : rows[row])
                text += (row == 0 ? "<th>" : "<td>") + escaped(cell) + (row == 0 ? "</th>" : "</td>");
            text += "</tr>\n";
        }
        return text + "</table>\n";
    }

    /// Share of missed objectives by minute: the current minute is at the right edge, and a share of 1 at the top.
    std::string plotOf(const BurnSeries& line)
    {
        constexpr double height = 60;
        std::ostringstream text;
        text << "<figure><figcaption>" << escaped(line.subject.name) << ": " << escaped(orDash(line.subject.reason)) << "</figcaption>\n"
             << "<svg viewBox=\"0 0 " << burnMinutes << " " << height << "\" width=\"720\" height=\"120\" preserveAspectRatio=\"none\"><polyline fill=\"none\" stroke=\"#b03020\" points=\"";
        for (std::size_t minute = 0; minute < line.minutes.size(); ++minute)
            text << burnMinutes - line.minutes.size() + minute << "," << fixedText(height * (1 - line.minutes[minute].missedShare()), 1) << " ";
        text << "\"/></svg></figure>\n";
        return text.str();
    }

}

std::string printBurnTables(const std::vector<BurnSeries>& lines)
{
    return printTable(tableOfRules(lines)) + "\n" + printTable(tableOfRequesters(lines));
}

std::string printBurnPage(const std::vector<BurnSeries>& lines)
{
    std::string page = "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Service-level burn</title>\n"
                       "<style>body{font-family:sans-serif}td,th{padding:2px 10px;text-align:left}svg{border:1px solid #ccc}</style></head><body>\n"
                       "<h1>Service-level burn</h1>\n";
    page += printHtml(tableOfRules(lines)) + "<h2>By requester</h2>\n" + printHtml(tableOfRequesters(lines)) + "<h2>Share of missed objectives by minute, last 6 h</h2>\n";
    for (const BurnSeries& line : lines)
        page += plotOf(line);
    return page + "</body></html>\n";
}

}
