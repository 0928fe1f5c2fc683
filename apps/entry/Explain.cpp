#include "Explain.h"
#include <algorithm>
#include <cowslipdoor/runtime/LogLine.h>
#include <set>
#include <string>

namespace cowslipdoor::entry {

using namespace runtime;

namespace {

    std::vector<LogLine> linesAbout(std::string_view id, const std::vector<std::istream*>& logs)
    {
        std::vector<LogLine> lines;
        for (std::istream* const log : logs) {
            for (std::string text; std::getline(*log, text);) {
                const std::optional<LogLine> line = parseLogLine(text);
                if (line && isAbout(*line, id))
                    lines.push_back(*line);
            }
        }
        std::stable_sort(lines.begin(), lines.end(), [](const LogLine& left, const LogLine& right) { return left.time < right.time; });
        return lines;
    }

}

bool explain(std::string_view id, const std::vector<std::istream*>& logs, std::ostream& output)
{
    const std::vector<LogLine> lines = linesAbout(id, logs);
    std::set<EventId> seen;
    for (const LogLine& line : lines) {
        output << line.time << " [" << line.process << "] " << describe(line.event).name << ": " << line.detail << "\n";
        seen.insert(line.event);
    }
    if (!seen.empty())
        output << "\n";
    for (const EventId event : seen)
        output << "E" << static_cast<unsigned>(event) << " " << describe(event).name << ": " << describe(event).meaning << "\n";
    return !lines.empty();
}

}
