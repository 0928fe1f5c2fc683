#include "Cases.h"
#include <cstdlib>
#include <exception>
#include <functional>
#include <iostream>
#include <map>

namespace {

using CaseFunction = std::function<review::Verdict(const review::CaseInput&, review::Record&)>;

const std::map<std::string, CaseFunction>& cases()
{
    static const std::map<std::string, CaseFunction> known {
        { "cancel-during-freeze", review::cancelDuringFreeze },
        { "stale-acknowledgement", review::staleAcknowledgement },
        { "start-after-restart", review::startAfterRestart },
        { "late-heartbeats", review::lateHeartbeats },
        { "large-jobs", review::largeJobs },
        { "large-foreign-heartbeats", review::largeForeignHeartbeats },
    };
    return known;
}

}

/// Arguments: name of the case, root of the repository, temporary folder, file of the record.
int main(int count, char** arguments)
{
    constexpr int expected = 5;
    if (count != expected || !cases().contains(arguments[1])) {
        std::cerr << "usage: review-2 CASE ROOT FOLDER RECORD\n";
        return static_cast<int>(review::Verdict::CouldNotRun);
    }
    try {
        const char* const trouble = std::getenv("TROUBLE");
        const review::CaseInput input { arguments[2], arguments[3], !trouble || std::string(trouble) != "0" };
        review::Record record(arguments[4]);
        record.line(std::string(arguments[1]) + (input.trouble ? ", with the disruption" : ", without the disruption"));
        const review::Verdict verdict = cases().at(arguments[1])(input, record);
        record.line(verdict == review::Verdict::Held ? "the rule held" : verdict == review::Verdict::Broken ? "the rule was broken"
                                                                                                            : "the case could not run");
        return static_cast<int>(verdict);
    } catch (const std::exception& error) {
        std::cerr << "review-2: " << error.what() << "\n";
        return static_cast<int>(review::Verdict::CouldNotRun);
    }
}
