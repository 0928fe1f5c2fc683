#include <catch2/catch.hpp>
#include <cowslipdoor/runtime/Metrics.h>

using namespace cowslipdoor;
using namespace cowslipdoor::runtime;

TEST_CASE("metrics: the page has counts by label", "[metrics]")
{
    Metrics metrics;
    metrics.countEvent(EventId::LinkOpened);
    metrics.observeRequest("rota", TrafficClass::Quick, Outcome::NotRun, std::chrono::milliseconds(3));
    metrics.setGauge("cowslipdoor_agents", "Agents", 3);
    metrics.setGauge("cowslipdoor_agents", "Agents", 4);
    metrics.countControlBytes(100);
    const std::string page = metrics.expose();
    CHECK(page.find(R"(cowslipdoor_events_total{event="link_opened"} 1)") != std::string::npos);
    CHECK(page.find(R"(outcome="not_run")") != std::string::npos);
    CHECK(page.find(R"(le="0.005"} 1)") != std::string::npos);
    CHECK(page.find("cowslipdoor_agents 4") != std::string::npos);
    CHECK(page.find("cowslipdoor_control_bytes_total 100") != std::string::npos);
}
