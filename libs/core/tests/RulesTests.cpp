#include "Values.h"
#include <catch2/catch.hpp>
#include <cowslipdoor/core/RulesText.h>
#include <rapidcheck.h>

using namespace cowslipdoor;
using namespace cowslipdoor::tests;

namespace {

struct FaultExample {
    std::string line;
    SourcePosition position;
    std::string message;
};

}

TEST_CASE("rules: every field is parsed", "[rules]")
{
    const RulesParseResult result = parseRules(
        "# gangs\nversion 12\n"
        "rule rota path=/rota/* method=GET header=X-Desk:mill user=siti class=quick deadline=300ms objective=99.95%<200ms "
        "reserve=2 retry=3 cores=0.25 memory=64MB team=rota share=3 quota=40 # Siti, mill: lorries idle: badly\n");
    REQUIRE(result.ok());
    CHECK(result.rules.version() == 12);
    const Rule& rule = result.rules.rules().at(0);
    CHECK(rule.selector == RuleSelector { "/rota/*", "GET", "X-Desk", "mill", "siti" });
    CHECK(rule.deadline == std::chrono::milliseconds(300));
    CHECK(rule.objective == Objective { 999500, std::chrono::milliseconds(200) });
    CHECK(rule.demand == Capacity { 1, 1, 250, 64 });
    CHECK(rule.quota == 40);
    CHECK(rule.requester == "Siti, mill");
    CHECK(rule.reason == "lorries idle: badly");
}

TEST_CASE("rules: each error has its position and the expected text", "[rules]")
{
    const FaultExample example = GENERATE(values<FaultExample>({
        { "rule a class=quick", { 2, 19 }, "the rule has no comment" },
        { "rule a class=quick # because", { 2, 20 }, "the comment does not name who asked and why" },
        { "rule a class=quick # : because", { 2, 20 }, "the comment does not name who asked and why" },
        { "rule a class=slow # x: y", { 2, 14 }, "unknown class 'slow'" },
        { "rule a # x: y", { 2, 1 }, "the rule has no class" },
        { "rule A class=quick # x: y", { 2, 6 }, "the rule has no name" },
        { "rule a class=quick colour=red # x: y", { 2, 20 }, "unknown field 'colour'" },
        { "rule a class=quick class=batch # x: y", { 2, 20 }, "the field 'class' is given twice" },
        { "rule a class=quick deadline=0ms # x: y", { 2, 29 }, "bad duration '0ms'" },
        { "rule a class=quick deadline=5 # x: y", { 2, 29 }, "bad duration '5'" },
        { "rule a class=quick path=rota # x: y", { 2, 25 }, "bad path 'rota'" },
        { "rule a class=quick path=/a*b # x: y", { 2, 27 }, "'*' inside the path '/a*b'" },
        { "rule a class=quick objective=101%<5ms # x: y", { 2, 30 }, "bad objective '101%<5ms'" },
        { "rule a class=quick retry=11 # x: y", { 2, 26 }, "bad number '11'" },
        { "rule a class=quick quota=4 # x: y", { 2, 1 }, "the rule has a quota but no team" },
        { "rule a class=batch reserve=2 # x: y", { 2, 1 }, "a batch rule has a reserve" },
        { "rule a class=quick cores=0.1234 # x: y", { 2, 26 }, "bad number of cores '0.1234'" },
        { "rule a class=quick user= # x: y", { 2, 25 }, "the field 'user' is empty" },
        { "  role a", { 2, 3 }, "unknown word 'role'" },
        { "version 2", { 2, 1 }, "the version is stated twice" },
    }));
    const RulesParseResult result = parseRules("version 1\n" + example.line + "\n");
    INFO(example.line);
    REQUIRE(result.faults.size() == 1);
    CHECK(result.faults[0].position == example.position);
    CHECK(result.faults[0].message == example.message);
    CHECK_FALSE(result.faults[0].expected.empty());
}

TEST_CASE("rules: all errors of a file are found at once, in order", "[rules]")
{
    const RulesParseResult result = parseRules("rule a class=quick\nrule a class=slow # x: y\nversion 0\n");
    CHECK(result.faults.size() == 5);
    CHECK(printFault("f", result.faults.front()) == "f:1:19: the rule has no comment; expected a comment '# WHO: WHY' that names who asked for the rule and why");
}

TEST_CASE("rules: a file without a version is refused", "[rules]")
{
    CHECK(parseRules("").faults.size() == 1);
    CHECK(parseRules("version 1").ok());
}

TEST_CASE("rules: the text is kept byte for byte, with its comments", "[rules]")
{
    const std::string text = "# first\r\nversion 3 # bumped\n\n  # more\nrule a class=quick # x: y";
    CHECK(parseRules(text).rules.text() == text);
}

TEST_CASE("rules: the first rule that selects a request wins", "[rules]")
{
    const RuleSet rules = rulesOf("version 1\nrule a path=/a/b class=quick # x: y\nrule b path=/a/* user=siti class=batch # x: y\nrule c header=X-Desk:mill class=tally # x: y\n");
    CHECK(rules.match({ "GET", "/a/b?x=1", "siti", {} })->name == "a");
    CHECK(rules.match({ "GET", "/a/c", "siti", {} })->name == "b");
    CHECK(rules.match({ "GET", "/a/c", "ahmad", {} }) == nullptr);
    CHECK(rules.match({ "GET", "/", "ahmad", { { "x-desk", "mill" } } })->name == "c");
}

TEST_CASE("rules: a printed rule is parsed to the same rule", "[rules][fuzz]")
{
    CHECK(rc::check("round trip", []() {
        Rule rule;
        rule.name = "r" + std::to_string(*rc::gen::inRange(0, 1000));
        rule.selector.path = *rc::gen::element(std::string(), std::string("/a"), std::string("/a/*"));
        rule.selector.method = *rc::gen::element(std::string(), std::string("GET"));
        rule.selector.user = *rc::gen::element(std::string(), std::string("siti"));
        rule.trafficClass = *rc::gen::element(TrafficClass::Quick, TrafficClass::Tally, TrafficClass::Watch);
        rule.deadline = std::chrono::milliseconds(*rc::gen::inRange(1, 86'400'000));
        if (*rc::gen::arbitrary<bool>())
            rule.objective = Objective { *rc::gen::inRange<std::uint32_t>(1, 1'000'001), std::chrono::milliseconds(*rc::gen::inRange(1, 100'000)) };
        rule.reserveSlots = *rc::gen::inRange<std::uint32_t>(0, 10'001);
        rule.retries = *rc::gen::inRange<std::uint32_t>(0, 11);
        rule.demand.milliCores = *rc::gen::inRange<std::uint32_t>(0, 10'000'001);
        rule.demand.memoryMb = *rc::gen::inRange<std::uint32_t>(0, 100'000);
        rule.team = "rota";
        rule.quota = *rc::gen::inRange<std::uint32_t>(1, 100);
        rule.requester = "Siti";
        rule.reason = "rain: again";
        const RulesParseResult result = parseRules("version 1\n" + printRule(rule));
        RC_ASSERT(result.ok());
        RC_ASSERT(result.rules.rules().at(0) == rule);
    }));
}

TEST_CASE("rules: arbitrary bytes give rules, or errors with positions inside the text", "[rules][fuzz]")
{
    CHECK(rc::check("arbitrary bytes", []() {
        const std::string text = *rc::gen::container<std::string>(rc::gen::oneOf(
            rc::gen::arbitrary<char>(), rc::gen::element('\n', ' ', '=', '#', ':', '%', '<', '*', '/', '1', 'm', 's')));
        const RulesParseResult result = parseRules(text);
        const std::size_t lines = 1 + static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
        for (const TextFault& fault : result.faults) {
            RC_ASSERT(fault.position.line >= 1 && fault.position.line <= lines);
            RC_ASSERT(fault.position.column >= 1 && fault.position.column <= text.size() + 1);
        }
    }));
    CHECK(rc::check("damaged rules", []() {
        std::string text = threeRules;
        const std::size_t damages = *rc::gen::inRange<std::size_t>(1, 6);
        for (std::size_t damage = 0; damage < damages; ++damage)
            text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
        const RulesParseResult result = parseRules(text);
        for (const Rule& rule : result.rules.rules())
            RC_ASSERT(!result.ok() || (!rule.requester.empty() && !rule.reason.empty()));
    }));
}
