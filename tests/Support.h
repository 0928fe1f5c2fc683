#pragma once

/// @file
/// @brief Rules, deployments and calls that the system tests share.

#include "CallerLoad.h"
#include "Deployment.h"
#include <catch2/catch.hpp>
#include <chrono>
#include <cowslipdoor/core/Error.h>
#include <cowslipdoor/runtime/HttpClient.h>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <sstream>
#include <thread>

namespace cowslipdoor::tests {

using standins::CallerLoad;
using standins::Deployment;
using standins::DeploymentConfig;
using standins::evaluate;
using standins::LoadResult;

inline const std::string systemRules = "version 1\n"
                                       "rule quick path=/quick* class=quick deadline=2s retry=2 # Siti: gangs wait\n"
                                       "rule batch path=/batch* class=batch deadline=30s retry=3 # Siti: rain shifts the plan\n"
                                       "rule tally path=/tally* class=tally deadline=4s # Ahmad: no member is paid twice\n";

/// Started deployment with its own folder for logs and rules.
class TestDeployment : public Deployment {
public:
    explicit TestDeployment(DeploymentConfig config)
        : Deployment(withFolder(std::move(config)))
    {
        this->startAll();
    }

    /// Sends one request to an entry and waits for the answer.
    Response call(std::size_t entry, const std::string& target, const std::string& key = "", Duration timeout = std::chrono::seconds(40)) const
    {
        runtime::HttpCall call { .address = this->callerAddresses().at(entry), .method = key.empty() ? "GET" : "POST", .target = target, .timeout = timeout };
        call.headers.push_back({ "X-User", "siti" });
        if (!key.empty())
            call.headers.push_back({ "Idempotency-Key", key });
        return runtime::fetch(call);
    }

    /// Sends one request from another thread.
    std::future<Response> callLater(std::size_t entry, const std::string& target, const std::string& key = "") const
    {
        return std::async(std::launch::async, [this, entry, target, key]() { return this->call(entry, target, key); });
    }

    /// Number of times that upstreams started the request with this number.
    std::uint32_t startsOf(const std::string& number) const { return this->counts().starts[number]; }

private:
    static DeploymentConfig withFolder(DeploymentConfig config)
    {
        static int number = 0;
        config.folder = std::filesystem::temp_directory_path() / ("cowslipdoor-test-" + std::to_string(::getpid()) + "-" + std::to_string(++number));
        if (config.rules.empty())
            config.rules = systemRules;
        return config;
    }
};

/// Reads a whole file.
inline std::string readText(const std::string& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

inline std::string outcomeOf(const Response& response)
{
    return std::string(findHeader(response.headers, "Cowslipdoor-Outcome"));
}

inline standins::CallerLoadConfig mixedLoad(const Deployment& deployment)
{
    return {
        .entries = deployment.callerAddresses(),
        .entryAdmins = deployment.entryAdmins(),
        .classes = {
            { .name = "quick", .path = "/quick", .perSecond = 80, .milliseconds = 5, .answerBytes = 3000, .callTimeout = std::chrono::seconds(20) },
            { .name = "tally", .path = "/tally", .keyed = true, .perSecond = 40, .milliseconds = 10, .callTimeout = std::chrono::seconds(20) },
            { .name = "batch", .path = "/batch", .perSecond = 5, .milliseconds = 300, .answerBytes = 50'000, .callTimeout = std::chrono::seconds(60) },
        },
    };
}

/// Stops a load, waits until all upstreams are idle, and checks that no request was lost or ran more than once and no upstream exceeded its capacity.
inline void stopAndCheckLoad(CallerLoad& load, const Deployment& deployment)
{
    load.stop();
    Deployment::await("upstreams to finish", [&deployment]() { return deployment.counts().running == 0; });
    const LoadResult result = evaluate(load.records(), deployment.counts());
    for (const std::string& reason : result.reasons)
        UNSCOPED_INFO(reason);
    CHECK(result.lost == 0);
    CHECK(result.doubled == 0);
    CHECK(result.overfilled == 0);
    CHECK(load.records().size() > 50);
}

inline void sleepFor(std::chrono::milliseconds duration)
{
    std::this_thread::sleep_for(duration);
}

}
