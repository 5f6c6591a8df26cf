#include <medlarrack/core/manual_clock.hpp>
#include <medlarrack/engine/fence_source.hpp>
#include <medlarrack/engine/pause_detector.hpp>

#include <boost/test/unit_test.hpp>

using namespace medlarrack;
using namespace std::chrono_literals;

namespace {
const core::wall_time morning(1'764'800'000'000ms);
constexpr std::uint64_t exactInEveryJsonReader = 1ULL << 53U;
} // namespace

BOOST_AUTO_TEST_CASE(fencing_numbers_grow)
{
    engine::fence_source source(morning);
    const auto first = source.next();
    BOOST_TEST(source.next() > first);
    BOOST_TEST(first < exactInEveryJsonReader);
}

BOOST_AUTO_TEST_CASE(a_restarted_sidecar_is_above_its_predecessor)
{
    engine::fence_source before(morning);
    std::uint64_t last = 0;
    for (int i = 0; i < 4000; ++i) {
        last = before.next();
    }
    engine::fence_source after(morning + 1ms);
    BOOST_TEST(after.next() > last);
}

BOOST_AUTO_TEST_CASE(a_superseded_source_says_so)
{
    engine::fence_source source(morning);
    BOOST_TEST(!source.superseded());
    source.supersede();
    BOOST_TEST(source.superseded());
}

BOOST_AUTO_TEST_CASE(a_pause_is_noticed_on_either_clock)
{
    core::manual_clock clock(morning);
    engine::pause_detector detector(clock, 1s);
    clock.advance(999ms);
    BOOST_TEST(detector.look() == 0U);
    clock.advance(1s);
    BOOST_TEST(detector.look() == 1U);
    BOOST_TEST(detector.look() == 1U);
    // A suspended machine's monotonic clock may stand still.
    clock.skewWall(10min);
    BOOST_TEST(detector.look() == 2U);
    // A wall clock that is set back is no pause.
    clock.skewWall(-10min);
    BOOST_TEST(detector.look() == 2U);
}
