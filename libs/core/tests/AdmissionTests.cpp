#include "Values.h"
#include <catch2/catch.hpp>
#include <cowslipdoor/core/Admission.h>

using namespace cowslipdoor;
using namespace cowslipdoor::tests;

namespace {

constexpr Incarnation ownIncarnation { 7 };

/// Makes the admission ready: one announcement without a token and two fresh ones.
void makeReady(Admission& admission, const std::vector<RunningWork>& running = {})
{
    (void)admission.applyAnnouncement(announcementOf(1, {}, running));
    (void)admission.applyAnnouncement(announcementOf(2, admission.nextToken(), running));
    (void)admission.applyAnnouncement(announcementOf(3, admission.nextToken(), running));
}

}

TEST_CASE("admission: nothing is admitted before fresh announcements", "[admission]")
{
    Admission admission(ownIncarnation);
    CHECK(admission.admit({ 1, 1 }, defaultDemand, 0) == ErrorKind::NotReady);
    (void)admission.applyAnnouncement(announcementOf(1, {}));
    CHECK(admission.admit({ 1, 1 }, defaultDemand, 0) == ErrorKind::NotReady);
    (void)admission.applyAnnouncement(announcementOf(2, { Incarnation { 6 }, 50 }));
    (void)admission.applyAnnouncement(announcementOf(3, { Incarnation { 6 }, 51 }));
    CHECK_FALSE(admission.ready());
    (void)admission.applyAnnouncement(announcementOf(4, admission.nextToken()));
    CHECK(admission.applyAnnouncement(announcementOf(5, admission.nextToken())) == AnnouncementResult::Recovered);
    CHECK(admission.admit({ 1, 1 }, defaultDemand, 0) == std::nullopt);
}

TEST_CASE("admission: the admitted demand never exceeds the capacity, in each of the four resources", "[admission]")
{
    const Capacity demand = GENERATE(
        Capacity { .slots = 3, .connections = 1 },
        Capacity { .slots = 1, .connections = 30 },
        Capacity { .slots = 1, .connections = 1, .milliCores = 15000 },
        Capacity { .slots = 1, .connections = 1, .memoryMb = 60000 });
    Admission admission(ownIncarnation);
    makeReady(admission);
    CHECK(admission.admit({ 1, 1 }, demand, 0) == std::nullopt);
    CHECK(admission.admit({ 1, 2 }, demand, 0) == std::nullopt);
    CHECK(admission.admit({ 1, 3 }, demand, 0) == ErrorKind::Busy);
    admission.finish({ 1, 1 });
    CHECK(admission.admit({ 1, 3 }, demand, 0) == std::nullopt);
}

TEST_CASE("admission: a reserve stays free for other requests, but never takes the last slot", "[admission]")
{
    Admission admission(ownIncarnation);
    makeReady(admission);
    for (std::uint64_t number = 0; number < 6; ++number)
        CHECK(admission.admit({ 1, number }, defaultDemand, 2) == std::nullopt);
    CHECK(admission.admit({ 1, 6 }, defaultDemand, 2) == ErrorKind::Busy);
    CHECK(admission.admit({ 1, 6 }, defaultDemand, 0) == std::nullopt);
    Admission small(ownIncarnation);
    makeReady(small);
    CHECK(small.admit({ 1, 1 }, defaultDemand, 100) == std::nullopt);
}

TEST_CASE("admission: requests of an earlier agent incarnation keep their capacity until two announcements lack them", "[admission]")
{
    const std::vector<RunningWork> left { { { 9, 1 } }, { { 9, 2 } } };
    Admission admission(ownIncarnation);
    makeReady(admission, left);
    CHECK(admission.allocated().slots == 2);
    (void)admission.applyAnnouncement(announcementOf(4, admission.nextToken(), { left[1] }));
    CHECK(admission.allocated().slots == 2);
    (void)admission.applyAnnouncement(announcementOf(5, admission.nextToken(), { left[1] }));
    CHECK(admission.allocated().slots == 1);
}

TEST_CASE("admission: abandoned requests keep their capacity until announcements composed later lack them", "[admission]")
{
    Admission admission(ownIncarnation);
    makeReady(admission);
    REQUIRE(admission.admit({ 1, 1 }, defaultDemand, 0) == std::nullopt);
    const AnnouncementToken before = admission.nextToken();
    admission.abandon({ 1, 1 });
    (void)admission.applyAnnouncement(announcementOf(4, before));
    (void)admission.applyAnnouncement(announcementOf(5, before));
    CHECK(admission.allocated().slots == 1);
    CHECK(admission.admit({ 1, 1 }, defaultDemand, 0) == ErrorKind::Refused);
    (void)admission.applyAnnouncement(announcementOf(6, admission.nextToken()));
    (void)admission.applyAnnouncement(announcementOf(7, admission.nextToken()));
    CHECK(admission.allocated().slots == 0);
}

TEST_CASE("admission: duplicate and out-of-date announcements change nothing", "[admission]")
{
    Admission admission(ownIncarnation);
    makeReady(admission);
    const Announcement smaller = announcementOf(2, admission.nextToken(), {}, { .slots = 1 });
    CHECK(admission.applyAnnouncement(smaller) == AnnouncementResult::Stale);
    CHECK(admission.total() == eightSlots);
}

TEST_CASE("admission: a leaving upstream gets no new requests", "[admission]")
{
    Admission admission(ownIncarnation);
    makeReady(admission);
    const Announcement leaving { .instance = 1, .sequence = 9, .capacity = eightSlots, .leaving = true };
    (void)admission.applyAnnouncement(leaving);
    CHECK(admission.admit({ 1, 1 }, defaultDemand, 0) == ErrorKind::Draining);
}

TEST_CASE("admission: after a restart of the upstream nothing is admitted before fresh announcements", "[admission]")
{
    Admission admission(ownIncarnation);
    makeReady(admission);
    REQUIRE(admission.admit({ 1, 1 }, defaultDemand, 0) == std::nullopt);
    const Announcement restarted { .instance = 2, .sequence = 1, .capacity = eightSlots };
    CHECK(admission.applyAnnouncement(restarted) == AnnouncementResult::NewInstance);
    CHECK(admission.admit({ 1, 2 }, defaultDemand, 0) == ErrorKind::NotReady);
    CHECK(admission.allocated().slots == 1);
}
