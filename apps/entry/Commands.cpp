#include "Commands.h"
#include "BurnJson.h"
#include "BurnReport.h"
#include "EntryProcess.h"
#include "Explain.h"
#include "JobsEntryProcess.h"
#include "RulesFile.h"
#include "TextTable.h"
#include <cowslipdoor/core/Error.h>
#include <cowslipdoor/runtime/Address.h>
#include <cowslipdoor/runtime/HttpClient.h>
#include <cowslipdoor/runtime/Process.h>
#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace cowslipdoor::entry {

using namespace runtime;

namespace {

    constexpr std::string_view usage = "cowslipdoor: schedules latency-critical and batch work on shared VMs.\n\n"
                                       "usage: cowslipdoor COMMAND [SETTINGS] [OPERANDS]\n\n"
                                       "commands:\n"
                                       "  entry              run an entry behind the balancer\n"
                                       "  jobs submit ID FILE, jobs show ID, jobs cancel ID, jobs pending\n"
                                       "                     submit, show and cancel jobs, and count pending jobs\n"
                                       "  jobs list          print all jobs that the leader knows, most urgent first\n"
                                       "  jobs explain QUEUE FILE\n"
                                       "                     print where the tasks of a job that has not been sent would go now, and why\n"
                                       "  jobs entry         run an entry that accepts jobs and may lead their scheduling\n"
                                       "  rules check FILE   check a rules file and print all its faults\n"
                                       "  rules show         print the rules in force at an entry, with requesters and reasons\n"
                                       "  explain ID [LOG...]\n"
                                       "                     print the lines of logs, or of standard input, about a request or job\n"
                                       "  report burn        print burn rates of objectives, by rule and by requester\n"
                                       "  status             print the state of an entry\n"
                                       "  version            print the version\n\n"
                                       "cowslipdoor COMMAND --help lists the settings of a command.\n";

    using Arguments = std::vector<std::string>;
    using Action = int (*)(const Arguments&);

    struct Command {
        std::vector<std::string_view> words;
        Action action;
    };

    std::vector<SettingSpec> clientSettings()
    {
        return {
            { "admin", AddressSetting {}, std::nullopt, "Admin address of the entry to ask." },
            { "form", ChoiceSetting { { "text", "json" } }, "text", "Form of the output." },
        };
    }

    void expectOperands(const CommandLine& line, std::size_t count, const std::string& synopsis)
    {
        if (line.operands.size() != count)
            throw SettingsError({ "usage: cowslipdoor " + synopsis });
    }

    /// Reads the settings of a command. With --help it prints the usage and returns nothing.
    std::optional<CommandLine> readOrHelp(const Arguments& words, const std::string& synopsis, const std::vector<SettingSpec>& specs)
    {
        CommandLine line = readCommandLine(specs, words, processEnvironment);
        if (!line.helpWanted)
            return line;
        std::cout << "usage: cowslipdoor " << synopsis << "\n\nsettings (a flag overrides its environment variable):\n"
                  << describeSettings(specs);
        return std::nullopt;
    }

    /// Reads the settings of a command and checks the number of its operands. With --help it prints the usage and returns nothing.
    std::optional<CommandLine> readOrHelp(const Arguments& words, const std::string& synopsis, const std::vector<SettingSpec>& specs, std::size_t operands)
    {
        std::optional<CommandLine> line = readOrHelp(words, synopsis, specs);
        if (line)
            expectOperands(*line, operands, synopsis);
        return line;
    }

    std::string readFile(const std::string& path)
    {
        std::ifstream file(path);
        if (!file)
            throw Error(ErrorKind::BadSetting, path + ": the file cannot be read");
        return { std::istreambuf_iterator<char>(file), {} };
    }

    std::string fetchPage(const HttpCall& call)
    {
        const Response response = fetch(call);
        std::string page(response.body.view());
        if (response.status != 200)
            throw Error(ErrorKind::Internal, call.address + call.target + " answered with status " + std::to_string(response.status) + ": " + page);
        return page;
    }

    std::string fetchPage(const std::string& address, const std::string& target)
    {
        return fetchPage({ .address = address, .target = target });
    }

    int runEntry(const Arguments& words)
    {
        const std::optional<CommandLine> line = readOrHelp(words, "entry --name NAME --failure-domain DOMAIN --listen IP:PORT --link-listen IP:PORT --admin-listen IP:PORT --rules FILE", entrySettings());
        if (!line)
            return 0;
        expectOperands(*line, 0, "entry [SETTINGS]");
        return EntryProcess(line->settings).run();
    }

    std::vector<SettingSpec> jobClientSettings()
    {
        return {
            { "entry", AddressSetting {}, std::nullopt, "Address of an entry for callers." },
            { "host", TextSetting {}, std::nullopt, "Host of the queue." },
            { "queue", TextSetting {}, std::nullopt, "Path of the queue, with a trailing slash." },
        };
    }

    /// Sends a request about a job to an entry and prints the answer. Returns exitFailure unless the status is 200.
    int callAboutJob(const CommandLine& line, const std::string& method, const std::string& job, std::string body)
    {
        HttpCall call { .address = line.settings.text("entry"), .method = method, .target = line.settings.text("queue") + job };
        call.headers.push_back({ "Host", line.settings.text("host") });
        call.body = std::move(body);
        const Response response = fetch(call);
        std::cout << response.body.view() << "\n";
        return response.status == 200 ? 0 : exitFailure;
    }

    int actOnJob(const Arguments& words, const std::string& method, const std::string& synopsis, std::size_t operands)
    {
        const std::optional<CommandLine> line = readOrHelp(words, synopsis, jobClientSettings(), operands);
        if (!line)
            return 0;
        std::string body;
        if (operands == 2)
            body = readFile(line->operands[1]);
        return callAboutJob(*line, method, operands == 0 ? "" : line->operands[0], std::move(body));
    }

    int submitJob(const Arguments& words)
    {
        return actOnJob(words, "POST", "jobs submit ID FILE --entry IP:PORT --host HOST --queue PATH", 2);
    }

    int showJob(const Arguments& words)
    {
        return actOnJob(words, "GET", "jobs show ID --entry IP:PORT --host HOST --queue PATH", 1);
    }

    int cancelJob(const Arguments& words)
    {
        return actOnJob(words, "DELETE", "jobs cancel ID --entry IP:PORT --host HOST --queue PATH", 1);
    }

    int showPendingJobs(const Arguments& words)
    {
        return actOnJob(words, "GET", "jobs pending --entry IP:PORT --host HOST --queue PATH", 0);
    }

    std::string secondsText(const nlohmann::json& milliseconds)
    {
        constexpr double perSecond = 1000;
        return milliseconds.is_null() ? "-" : fixedText(milliseconds.get<double>() / perSecond, 1);
    }

    void printJobTable(const nlohmann::json& jobs)
    {
        std::vector<TableRow> rows { { "job", "queue", "priority", "state", "age s", "due s", "tasks", "placed", "done" } };
        for (const nlohmann::json& job : jobs) {
            rows.push_back({ job.at("job"), job.at("queue"), job.at("priority").dump(), job.at("state"), secondsText(job.at("age_ms")), secondsText(job.at("due_in_ms")),
                job.at("tasks").dump(), job.at("placed").dump(), job.at("done").dump() });
        }
        std::cout << printTable(rows);
    }

    void expectLeading(const nlohmann::json& json)
    {
        if (json.at("leading").get<bool>())
            return;
        const std::string leader = json.at("leader");
        throw Error(ErrorKind::Internal, "this entry does not lead the jobs; " + (leader.empty() ? "the leader is not known" : "ask " + leader));
    }

    int listJobs(const Arguments& words)
    {
        const std::optional<CommandLine> line = readOrHelp(words, "jobs list --admin IP:PORT", clientSettings(), 0);
        if (!line)
            return 0;
        const std::string page = fetchPage(line->settings.text("admin"), "/jobs");
        const nlohmann::json json = nlohmann::json::parse(page);
        expectLeading(json);
        if (line->settings.text("form") == "json")
            std::cout << page;
        else
            printJobTable(json.at("jobs"));
        return 0;
    }

    void printStepTable(const nlohmann::json& steps)
    {
        std::vector<TableRow> rows { { "step", "tasks", "worker", "slowdown", "decision", "wait s", "reason", "workers" } };
        for (const nlohmann::json& step : steps) {
            const nlohmann::json slowdown = step.value("slowdown", nlohmann::json());
            const std::string agent = step.at("agent");
            rows.push_back({ step.at("step").dump(), step.at("tasks").dump(), agent.empty() ? "-" : agent, slowdown.is_null() ? "-" : fixedText(slowdown.get<double>(), 2), step.at("decision"),
                secondsText(step.value("wait_ms", nlohmann::json())), step.at("reason"), step.at("workers") });
        }
        std::cout << printTable(rows);
    }

    int explainJob(const Arguments& words)
    {
        const std::optional<CommandLine> line = readOrHelp(words, "jobs explain QUEUE FILE --admin IP:PORT", clientSettings(), 2);
        if (!line)
            return 0;
        const nlohmann::json question { { "queue", line->operands[0] }, { "job", readFile(line->operands[1]) } };
        HttpCall call { .address = line->settings.text("admin"), .method = "POST", .target = "/jobs/explain" };
        call.body = question.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        const std::string page = fetchPage(call);
        const nlohmann::json json = nlohmann::json::parse(page);
        expectLeading(json);
        if (line->settings.text("form") == "json")
            std::cout << page;
        else
            printStepTable(json.at("steps"));
        return 0;
    }

    int runJobsEntry(const Arguments& words)
    {
        const std::optional<CommandLine> line = readOrHelp(words, "jobs entry --name NAME --failure-domain DOMAIN --listen IP:PORT --ready-listen IP:PORT --admin-listen IP:PORT --store IP:PORT", jobsEntrySettings());
        if (!line)
            return 0;
        expectOperands(*line, 0, "jobs entry [SETTINGS]");
        return JobsEntryProcess(line->settings).run();
    }

    int checkRules(const Arguments& words)
    {
        const std::optional<CommandLine> line = readOrHelp(words, "rules check FILE", {}, 1);
        if (!line)
            return 0;
        const RuleSet rules = readRulesFile(line->operands.front());
        std::cout << line->operands.front() << ": version " << rules.version() << ", " << rules.rules().size() << " rules, no fault\n";
        return 0;
    }

    int showRules(const Arguments& words)
    {
        const std::optional<CommandLine> line = readOrHelp(words, "rules show --admin IP:PORT", clientSettings(), 0);
        if (!line)
            return 0;
        const std::string page = fetchPage(line->settings.text("admin"), "/rules");
        if (line->settings.text("form") == "json") {
            std::cout << page;
            return 0;
        }
        const nlohmann::json json = nlohmann::json::parse(page);
        std::cout << "version " << json.at("version") << "\n";
        for (const nlohmann::json& rule : json.at("rules"))
            std::cout << rule.at("line").get<std::string>() << "\n";
        return 0;
    }

    std::vector<SettingSpec> reportSettings()
    {
        return {
            { "admins", AddressListSetting {}, std::nullopt, "Admin addresses of the entries whose counts are added up." },
            { "form", ChoiceSetting { { "text", "json", "html" } }, "text", "Form of the output." },
        };
    }

    int reportBurn(const Arguments& words)
    {
        const std::string synopsis = "report burn --admins IP:PORT,...";
        const std::optional<CommandLine> line = readOrHelp(words, synopsis, reportSettings(), 0);
        if (!line)
            return 0;
        std::vector<std::vector<BurnSeries>> pages;
        for (const std::string& admin : parseAddressList(line->settings.text("admins")))
            pages.push_back(parseBurn(fetchPage(admin, "/burn")));
        const std::vector<BurnSeries> merged = mergeBurnSeries(pages);
        const std::string form = line->settings.text("form");
        std::cout << (form == "json" ? printBurn(merged) : form == "html" ? printBurnPage(merged)
                                                                          : printBurnTables(merged));
        return 0;
    }

    int explainId(const Arguments& words)
    {
        const std::string synopsis = "explain ID [LOG...]";
        const std::optional<CommandLine> line = readOrHelp(words, synopsis, {});
        if (!line)
            return 0;
        if (line->operands.empty())
            throw SettingsError({ "usage: cowslipdoor " + synopsis });
        std::vector<std::ifstream> files;
        for (std::size_t operand = 1; operand < line->operands.size(); ++operand) {
            files.emplace_back(line->operands[operand]);
            if (!files.back())
                throw Error(ErrorKind::BadSetting, line->operands[operand] + ": the file cannot be read");
        }
        std::vector<std::istream*> logs;
        logs.reserve(files.size() + 1);
        for (std::ifstream& file : files)
            logs.push_back(&file);
        if (logs.empty())
            logs.push_back(&std::cin);
        if (explain(line->operands.front(), logs, std::cout))
            return 0;
        std::cerr << "cowslipdoor: no log line mentions " << line->operands.front() << "\n";
        return exitFailure;
    }

    int showStatus(const Arguments& words)
    {
        const std::optional<CommandLine> line = readOrHelp(words, "status --admin IP:PORT", clientSettings(), 0);
        if (!line)
            return 0;
        std::cout << fetchPage(line->settings.text("admin"), "/status");
        return 0;
    }

    int showVersion(const Arguments&)
    {
        std::cout << "cowslipdoor " << COWSLIPDOOR_VERSION << "\n";
        return 0;
    }

    int showUsage(const Arguments&)
    {
        std::cout << usage;
        return 0;
    }

    const std::vector<Command>& commands()
    {
        static const std::vector<Command> all {
            { { "entry" }, runEntry },
            { { "jobs", "entry" }, runJobsEntry },
            { { "jobs", "submit" }, submitJob },
            { { "jobs", "list" }, listJobs },
            { { "jobs", "explain" }, explainJob },
            { { "jobs", "show" }, showJob },
            { { "jobs", "cancel" }, cancelJob },
            { { "jobs", "pending" }, showPendingJobs },
            { { "rules", "check" }, checkRules },
            { { "rules", "show" }, showRules },
            { { "explain" }, explainId },
            { { "report", "burn" }, reportBurn },
            { { "status" }, showStatus },
            { { "version" }, showVersion },
            { { "--version" }, showVersion },
            { { "help" }, showUsage },
            { { "--help" }, showUsage },
        };
        return all;
    }

    bool beginsWith(const Arguments& words, const Command& command)
    {
        return words.size() >= command.words.size() && std::equal(command.words.begin(), command.words.end(), words.begin());
    }

}

int runCommand(const std::vector<std::string>& arguments)
{
    for (const Command& command : commands()) {
        if (beginsWith(arguments, command))
            return command.action(Arguments(arguments.begin() + static_cast<std::ptrdiff_t>(command.words.size()), arguments.end()));
    }
    const std::string given = arguments.empty() ? "no command is given" : "'" + arguments.front() + "': no such command";
    throw SettingsError({ given, std::string(usage) });
}

}
