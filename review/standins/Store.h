#pragma once

/// @file
/// @brief Stand-in of the platform's store: tables of rows, transactions, feeds, with the limits that the pages state.

#include "Http.h"
#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <tuple>
#include <vector>

namespace review {

/// @brief Store in memory. It loses nothing that it has acknowledged.
class Store {
public:
    Store();

    /// @return its address
    [[nodiscard]] const std::string& address() const { return this->server.address(); }

    /// @param milliseconds time that each call takes from now on
    void setAnswerTime(long long milliseconds) { this->answerMs = milliseconds; }

    /// @brief Writes a row as the operator.
    void put(const std::string& table, const std::string& key, const std::string& value);

    /// @return the number of transactions that exceeded a limit and were refused with 400
    [[nodiscard]] std::size_t refusedAsTooLarge() const { return this->tooLarge; }

    /// @return the size of the largest refused value in bytes
    [[nodiscard]] std::size_t largestRefusedValue() const { return this->largestValue; }

private:
    /// Table, part and key.
    using Key = std::tuple<std::string, std::string, std::string>;
    struct StoredRow {
        std::string value;
        std::uint64_t version = 0;
    };
    struct Change {
        std::uint64_t version = 0;
        Key key;
        std::string value;
        bool deleted = false;
    };

    HttpReply respond(const HttpRequest& request);
    HttpReply transact(const std::string& body);
    HttpReply read(const HttpRequest& request);
    HttpReply parts(const HttpRequest& request);
    HttpReply follow(const HttpRequest& request);

    std::mutex mutex;
    std::condition_variable changed;
    std::map<Key, StoredRow> rows;
    std::vector<Change> changes;
    std::uint64_t version = 0;
    std::atomic<long long> answerMs { 4 };
    std::atomic<std::size_t> tooLarge { 0 };
    std::atomic<std::size_t> largestValue { 0 };
    HttpServer server;
};

}
