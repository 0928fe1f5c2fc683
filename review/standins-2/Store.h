#pragma once

/// @file
/// @brief Stand-in for the platform's store: rows with versions, conditional transactions and a feed of changes.

#include "Http.h"
#include <condition_variable>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace review {

/// @brief Keeps rows in memory and answers as the platform's pages describe.
class Store {
public:
    /// @param port a free port
    explicit Store(int port);
    Store(const Store&) = delete;
    Store& operator=(const Store&) = delete;
    ~Store();

    /// @brief Writes a row as the operator.
    /// @param table table
    /// @param key key; the part is empty
    /// @param value value
    void put(const std::string& table, const std::string& key, const std::string& value);

private:
    using Key = std::tuple<std::string, std::string, std::string>;

    struct StoredRow {
        std::string value;
        unsigned long long version = 0;
    };

    std::optional<HttpAnswer> respond(const HttpCall& call);
    HttpAnswer transact(const std::string& body);
    HttpAnswer read(const HttpCall& call);
    HttpAnswer listParts(const HttpCall& call);
    HttpAnswer follow(const HttpCall& call);
    void note(const Key& key);
    [[nodiscard]] nlohmann::json describe(const Key& key, unsigned long long version) const;
    [[nodiscard]] HttpAnswer answer(int status, nlohmann::json body) const;

    std::mutex mutex;
    std::condition_variable changed;
    bool stopping = false;
    unsigned long long version = 1;
    std::map<Key, StoredRow> rows;
    std::map<unsigned long long, std::vector<Key>> changes;
    HttpServer server;
};

}
