#include "Support.h"
#include <fstream>

using namespace cowslipdoor;
using namespace cowslipdoor::tests;

namespace {

struct Run {
    int code = 0;
    std::string output;
};

Run run(const std::string& program, const std::vector<std::string>& arguments)
{
    const std::string log = std::filesystem::temp_directory_path() / ("cowslipdoor-command-" + std::to_string(::getpid()));
    std::filesystem::remove(log);
    const int code = standins::ChildProcess(program, arguments, log).wait();
    const std::string output = readText(log);
    std::filesystem::remove(log);
    return { code, output };
}

std::string ruleFile(const std::string& text)
{
    const std::string path = std::filesystem::temp_directory_path() / ("cowslipdoor-rules-" + std::to_string(::getpid()));
    std::ofstream(path) << text;
    return path;
}

}

TEST_CASE("commands: help and version work without settings", "[system]")
{
    for (const std::string& program : { std::string(COWSLIPDOOR_ENTRY), std::string(COWSLIPDOOR_AGENT) }) {
        CHECK(run(program, { "--help" }).code == 0);
        CHECK(run(program, { "--version" }).output.find("0.1.0") != std::string::npos);
    }
    CHECK(run(COWSLIPDOOR_ENTRY, { "entry", "--help" }).output.find("COWSLIPDOOR_DRAIN_GRACE") != std::string::npos);
}

TEST_CASE("commands: invalid usage exits with code 2 and reports every fault", "[system]")
{
    const Run entry = run(COWSLIPDOOR_ENTRY, { "entry", "--listen=localhost:80", "--queue-limit=0", "--name=a" });
    CHECK(entry.code == 2);
    CHECK(entry.output.find("--listen: 'localhost:80' is not accepted") != std::string::npos);
    CHECK(entry.output.find("--queue-limit: '0' is not accepted") != std::string::npos);
    CHECK(entry.output.find("--rules (or COWSLIPDOOR_RULES) must be given") != std::string::npos);
    CHECK(run(COWSLIPDOOR_ENTRY, {}).code == 2);
    CHECK(run(COWSLIPDOOR_ENTRY, { "dance" }).code == 2);
    CHECK(run(COWSLIPDOOR_AGENT, { "operand" }).code == 2);
}

TEST_CASE("commands: rules check prints every fault with its line and column", "[system]")
{
    const std::string good = ruleFile(systemRules);
    CHECK(run(COWSLIPDOOR_ENTRY, { "rules", "check", good }).output == good + ": version 1, 3 rules, no fault\n");
    const std::string bad = ruleFile("version 1\nrule a class=slow # x: y\nrule b class=quick\n");
    const Run checked = run(COWSLIPDOOR_ENTRY, { "rules", "check", bad });
    CHECK(checked.code == 2);
    CHECK(checked.output.find(bad + ":2:14: unknown class 'slow'; expected quick, batch, watch or tally") != std::string::npos);
    CHECK(checked.output.find(bad + ":3:19: the rule has no comment") != std::string::npos);
    CHECK(run(COWSLIPDOOR_ENTRY, { "rules", "check", "/nowhere" }).code == 2);
    CHECK(run(COWSLIPDOOR_ENTRY, { "rules", "check", std::string(COWSLIPDOOR_SOURCE_DIR) + "/examples/rota.rules" }).code == 0);
}

TEST_CASE("commands: rules loaded by one entry take effect in all processes and never revert to an older version", "[system]")
{
    TestDeployment deployment({});
    const auto versionAt = [](const std::string& admin) { return Deployment::status(admin).at("rules_version").get<std::uint64_t>(); };
    const std::string second = "version 2\nrule quick path=/quick* class=quick # Siti: only quick answers are left\n";
    deployment.writeRules("version 3\nrule broken\n");
    deployment.entry(0).signal(SIGHUP);
    Deployment::await("entry 0 to refuse the rules", [&deployment]() { return readText(deployment.logPath("entry", 0)).find("E201 rules_refused") != std::string::npos; });
    CHECK(versionAt(deployment.entryAdmins().at(0)) == 1);
    deployment.writeRules(second);
    deployment.entry(0).signal(SIGHUP);
    for (const std::string& admin : { deployment.entryAdmins().at(0), deployment.entryAdmins().at(1), deployment.agentAdmins().at(0), deployment.agentAdmins().at(2) })
        Deployment::await("version 2 at " + admin, [&admin, &versionAt]() { return versionAt(admin) == 2; });
    CHECK(deployment.call(1, "/batch?n=1").status == 404);
    deployment.writeRules(systemRules);
    deployment.entry(1).signal(SIGKILL);
    deployment.entry(1).wait();
    deployment.startEntry(1);
    deployment.awaitAgents(3);
    Deployment::await("version 2 after the restart", [&deployment, &versionAt]() { return versionAt(deployment.entryAdmins().at(1)) == 2; });
    const Run shown = run(COWSLIPDOOR_ENTRY, { "rules", "show", "--admin", deployment.entryAdmins().at(1) });
    CHECK(shown.output.find("version 2\nrule quick") == 0);
    CHECK(shown.output.find("# Siti: only quick answers are left") != std::string::npos);
    CHECK(runtime::fetch({ .address = deployment.entryAdmins().at(1), .target = "/rules.txt" }).body.view() == second);
}

TEST_CASE("commands: admin endpoints answer", "[system]")
{
    TestDeployment deployment({ .agents = 1 });
    CHECK(deployment.call(0, "/quick?n=1").status == 200);
    const std::string metrics(runtime::fetch({ .address = deployment.entryAdmins().at(0), .target = "/metrics" }).body.view());
    CHECK(metrics.find("cowslipdoor_requests_total{class=\"quick\",outcome=\"ran\",rule=\"quick\"} 1") != std::string::npos);
    CHECK(runtime::fetch({ .address = deployment.agentAdmins().at(0), .target = "/readyz" }).status == 200);
    CHECK(runtime::fetch({ .address = deployment.entryAdmins().at(1), .target = "/healthz" }).status == 200);
    CHECK(runtime::fetch({ .address = deployment.entryAdmins().at(1), .target = "/nowhere" }).status == 404);
    CHECK(run(COWSLIPDOOR_ENTRY, { "status", "--admin", deployment.entryAdmins().at(0) }).output.find("agent-0") != std::string::npos);
    CHECK(run(COWSLIPDOOR_ENTRY, { "status", "--admin", "127.0.0.1:1" }).code == 1);
}

TEST_CASE("commands: the burn report sums the counts of all entries by rule and by requester", "[system]")
{
    const std::string rules = "version 1\n"
                              "rule quick path=/quick* class=quick deadline=4s objective=99%<1s # Siti: gangs <wait>\n"
                              "rule batch path=/batch* class=batch deadline=30s # Ahmad: rain shifts the plan\n";
    TestDeployment deployment({ .agents = 1, .rules = rules });
    for (std::size_t entry = 0; entry < 2; ++entry) {
        CHECK(deployment.call(entry, "/quick?n=1").status == 200);
        CHECK(deployment.call(entry, "/batch?n=1").status == 200);
    }
    CHECK(deployment.call(0, "/quick?n=1&ms=1200").status == 200);
    const std::string admins = deployment.entryAdmins().at(0) + "," + deployment.entryAdmins().at(1);
    const auto report = [&admins](const std::string& form) { return run(COWSLIPDOOR_ENTRY, { "report", "burn", "--admins", admins, "--form", form }); };
    const std::string text = report("text").output;
    INFO(text);
    CHECK(text.find("quick          Siti      99%<1000ms  3            1       33.3") != std::string::npos);
    CHECK(text.find("batch          Ahmad     -           2            0       -") != std::string::npos);
    CHECK(text.find("Siti      3          1       33.33%") != std::string::npos);
    const nlohmann::json json = nlohmann::json::parse(report("json").output);
    REQUIRE(json.at("lines").size() == 2);
    CHECK(json.at("lines")[1].at("missed_by_minute").back() == 1);
    const std::string page = report("html").output;
    CHECK(page.find("<polyline") != std::string::npos);
    CHECK(page.find("gangs &lt;wait&gt;") != std::string::npos);
    CHECK(run(COWSLIPDOOR_ENTRY, { "report", "burn", "--admins", "127.0.0.1:1" }).code == 1);
}

TEST_CASE("commands: explain prints the log lines of all processes about a refused request", "[system]")
{
    TestDeployment deployment({ .agents = 1, .entries = 1, .slots = 1 });
    std::future<Response> running = deployment.callLater(0, "/batch?n=1&ms=3000");
    Deployment::await("the only slot to be taken", [&deployment]() { return deployment.counts().running == 1; });
    const Response refused = deployment.call(0, "/quick?n=2");
    CHECK(refused.status == 504);
    const std::string id(findHeader(refused.headers, "Cowslipdoor-Request-Id"));
    const std::vector<std::string> logs { deployment.logPath("agent", 0), deployment.logPath("entry", 0) };
    Deployment::await("the log line about the request", [&logs, &id]() { return readText(logs[1]).find(id) != std::string::npos; });
    const Run explained = run(COWSLIPDOOR_ENTRY, { "explain", id, logs[0], logs[1] });
    CHECK(explained.code == 0);
    CHECK(explained.output.find("[entry-0] request_refused: " + id + " deadline_before_start: no VM had enough free capacity within the deadline") != std::string::npos);
    CHECK(explained.output.find("\nE500 request_refused: ") != std::string::npos);
    CHECK(run(COWSLIPDOOR_ENTRY, { "explain", "ffffffffffffffffffffffffffffffff", logs[0], logs[1] }).code == 1);
    CHECK(run(COWSLIPDOOR_ENTRY, { "explain" }).code == 2);
    CHECK(run(COWSLIPDOOR_ENTRY, { "explain", id, "/nowhere" }).code == 2);
    CHECK(running.get().status == 200);
}

TEST_CASE("commands: addresses may be IPv6 literals", "[system]")
{
    const std::string rules = ruleFile(systemRules);
    const std::string port = standins::freeAddress().substr(std::string("127.0.0.1:").size());
    const std::string admin = "[::1]:" + port;
    const std::string log = std::filesystem::temp_directory_path() / ("cowslipdoor-six-" + std::to_string(::getpid()));
    standins::ChildProcess entry(COWSLIPDOOR_ENTRY, { "entry", "--name=six", "--failure-domain=kangar", "--listen=[::1]:0", "--link-listen=[::1]:0", "--admin-listen=" + admin, "--rules=" + rules }, log);
    Deployment::await("the entry to answer", [&admin]() { return !Deployment::status(admin).is_null(); });
    entry.signal(SIGTERM);
    CHECK(entry.wait() == 0);
}
