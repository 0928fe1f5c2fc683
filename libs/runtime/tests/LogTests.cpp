#include "OutputCapture.h"
#include <catch2/catch.hpp>
#include <cowslipdoor/core/Error.h>
#include <cowslipdoor/runtime/Log.h>
#include <nlohmann/json.hpp>

using namespace cowslipdoor;
using namespace cowslipdoor::runtime;

TEST_CASE("log: a JSON line has time, number, name, level, process and detail", "[log]")
{
    const std::string text = outputOf([]() { Log("entry-1", LogForm::Json, EventLevel::Info).record(EventId::LinkOpened, "say \"hi\"\n"); });
    const nlohmann::json line = nlohmann::json::parse(text);
    CHECK(line.at("time").get<std::string>().size() == std::string("2026-12-04T18:18:02.926Z").size());
    CHECK(line.at("event") == 300);
    CHECK(line.at("name") == "link_opened");
    CHECK(line.at("level") == "info");
    CHECK(line.at("process") == "entry-1");
    CHECK(line.at("detail") == "say \"hi\"\n");
}

TEST_CASE("log: a text line has the number, and events below the level are not written", "[log]")
{
    const std::string text = outputOf([]() {
        const Log log("entry-1", LogForm::Text, EventLevel::Warning);
        log.record(EventId::LinkOpened, "left out");
        log.record(EventId::LinkSilent, "kept");
    });
    CHECK(text.find("E304 link_silent [entry-1] kept") != std::string::npos);
    CHECK(text.find("left out") == std::string::npos);
    CHECK_THROWS_AS(eventLevelFromString("loud"), Error);
}
