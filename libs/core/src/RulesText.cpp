#include "cowslipdoor/core/RulesText.h"
#include "cowslipdoor/core/impl/RulesParser.h"
#include <cstdio>
#include <sstream>

namespace cowslipdoor {

namespace {

    std::string printDuration(Duration duration)
    {
        return std::to_string(toMilliseconds(duration)) + "ms";
    }

    std::string printMilli(std::uint32_t milli)
    {
        std::ostringstream text;
        text << milli / 1000;
        if (milli % 1000 != 0) {
            std::string fraction = std::to_string(1000 + milli % 1000).substr(1);
            fraction.erase(fraction.find_last_not_of('0') + 1);
            text << '.' << fraction;
        }
        return text.str();
    }

    void printText(std::ostream& line, std::string_view key, const std::string& value)
    {
        if (!value.empty())
            line << ' ' << key << '=' << value;
    }

    void printSelector(std::ostream& line, const RuleSelector& selector)
    {
        printText(line, "path", selector.path);
        printText(line, "method", selector.method);
        if (!selector.headerName.empty())
            line << " header=" << selector.headerName << ':' << selector.headerValue;
        printText(line, "user", selector.user);
    }

    void printTreatment(std::ostream& line, const Rule& rule)
    {
        line << " class=" << toString(rule.trafficClass);
        line << " deadline=" << printDuration(rule.deadline);
        if (rule.objective)
            line << " objective=" << printObjective(*rule.objective);
        line << " reserve=" << rule.reserveSlots;
        line << " retry=" << rule.retries;
    }

    void printShare(std::ostream& line, const Rule& rule)
    {
        line << " cores=" << printMilli(rule.demand.milliCores);
        line << " memory=" << rule.demand.memoryMb << "MB";
        printText(line, "team", rule.team);
        line << " share=" << rule.share;
        if (rule.quota)
            line << " quota=" << *rule.quota;
    }

}

RulesParseResult parseRules(std::string_view text)
{
    return impl::RulesParser(text).parse();
}

std::string printObjective(const Objective& objective)
{
    std::ostringstream text;
    const std::uint32_t perMillionOfPercent = 10'000;
    text << objective.perMillion / perMillionOfPercent;
    if (objective.perMillion % perMillionOfPercent != 0) {
        std::string fraction = std::to_string(perMillionOfPercent + objective.perMillion % perMillionOfPercent).substr(1);
        fraction.erase(fraction.find_last_not_of('0') + 1);
        text << '.' << fraction;
    }
    text << "%<" << printDuration(objective.latency);
    return text.str();
}

std::string printRule(const Rule& rule)
{
    std::ostringstream line;
    line << "rule " << rule.name;
    printSelector(line, rule.selector);
    printTreatment(line, rule);
    printShare(line, rule);
    line << " # " << rule.requester << ": " << rule.reason;
    return line.str();
}

std::string printFault(std::string_view file, const TextFault& fault)
{
    std::ostringstream line;
    line << file << ':' << fault.position.line << ':' << fault.position.column << ": " << fault.message;
    if (!fault.expected.empty())
        line << "; expected " << fault.expected;
    return line.str();
}

}
