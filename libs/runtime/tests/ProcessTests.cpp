#include <algorithm>
#include <catch2/catch.hpp>
#include <cowslipdoor/runtime/Process.h>
#include <vector>

using namespace cowslipdoor;
using namespace cowslipdoor::runtime;

TEST_CASE("process: incarnations of entries differ in random bits, not only in the clock", "[process]")
{
    constexpr std::size_t starts = 200;
    std::vector<Incarnation> made;
    while (made.size() < starts)
        made.push_back(newEntryIncarnation());
    const auto saltOf = [](Incarnation incarnation) { return static_cast<std::uint64_t>(incarnation) & 0xfff; };
    const std::uint64_t firstSalt = saltOf(made.front());
    CHECK(std::any_of(made.begin(), made.end(), [&saltOf, firstSalt](Incarnation incarnation) { return saltOf(incarnation) != firstSalt; }));
    CHECK(static_cast<std::uint64_t>(made.back()) >> 12 >= static_cast<std::uint64_t>(made.front()) >> 12);
}
