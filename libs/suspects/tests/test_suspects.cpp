#include <medlarrack/suspects/crash_batches.hpp>
#include <medlarrack/suspects/suspect_table.hpp>

#include <boost/test/unit_test.hpp>

using namespace medlarrack;
using namespace std::chrono_literals;
using suspects::suspect_status;

namespace {

constexpr std::uint64_t poison = 17;
constexpr core::monotonic_time start{1h};
const core::instance_ref first{"e-1", 100};
const core::instance_ref second{"e-2", 100};

} // namespace

BOOST_AUTO_TEST_CASE(a_request_is_a_suspect_after_one_crash_and_refused_after_two)
{
    suspects::suspect_table table;
    BOOST_TEST((table.statusOf(poison, start) == suspect_status::clear));
    table.recordCrash(poison, first, start);
    BOOST_TEST((table.statusOf(poison, start) == suspect_status::suspect));
    table.recordCrash(poison, second, start);
    BOOST_TEST((table.statusOf(poison, start) == suspect_status::refused));
}

BOOST_AUTO_TEST_CASE(one_crash_told_twice_counts_once_but_a_second_crash_of_the_same_target_counts)
{
    suspects::suspect_table table;
    table.recordCrash(poison, first, start);
    table.recordCrash(poison, first, start + 1s);
    BOOST_TEST(table.crashCount(poison, start + 1s) == 1U);
    table.recordCrash(poison, first, start + 1min);
    BOOST_TEST((table.statusOf(poison, start + 1min) == suspect_status::refused));

    // A new incarnation of an instance is another target.
    table.recordCrash(18, first, start);
    table.recordCrash(18, {"e-1", 101}, start + 2s);
    BOOST_TEST((table.statusOf(18, start + 2s) == suspect_status::refused));
}

BOOST_AUTO_TEST_CASE(an_innocent_suspect_is_cleared_by_its_answer_and_a_refused_one_is_not)
{
    suspects::suspect_table table;
    table.recordCrash(poison, first, start);
    table.recordAnswer(poison, start);
    BOOST_TEST((table.statusOf(poison, start) == suspect_status::clear));
    BOOST_TEST(table.size() == 0U);

    table.recordCrash(poison, first, start);
    table.recordCrash(poison, second, start);
    table.recordAnswer(poison, start);
    BOOST_TEST((table.statusOf(poison, start) == suspect_status::refused));
}

BOOST_AUTO_TEST_CASE(a_suspicion_fades_after_its_last_crash)
{
    suspects::suspect_table table({.crashesToRefuse = 2, .fadeAfter = 10min, .maxFingerprints = 8});
    table.recordCrash(poison, first, start);
    table.recordCrash(poison, second, start + 9min);
    BOOST_TEST((table.statusOf(poison, start + 18min) == suspect_status::refused));
    BOOST_TEST((table.statusOf(poison, start + 19min) == suspect_status::clear));
    table.recordCrash(poison, first, start + 20min);
    BOOST_TEST((table.statusOf(poison, start + 20min) == suspect_status::suspect));
}

BOOST_AUTO_TEST_CASE(the_oldest_fingerprint_makes_room)
{
    suspects::suspect_table table({.crashesToRefuse = 2, .fadeAfter = 10min, .maxFingerprints = 2});
    table.recordCrash(1, first, start);
    table.recordCrash(2, first, start);
    table.recordCrash(3, first, start);
    BOOST_TEST(table.size() == 2U);
    BOOST_TEST((table.statusOf(1, start) == suspect_status::clear));
    BOOST_TEST((table.statusOf(3, start) == suspect_status::suspect));
}

BOOST_AUTO_TEST_CASE(what_peers_know_is_merged_without_counting_a_crash_twice)
{
    suspects::suspect_table table;
    suspects::suspect_table peer;
    table.recordCrash(poison, first, start);
    peer.recordCrash(poison, first, start);
    BOOST_TEST(table.merge({peer.records(start), {}}, start).empty());
    BOOST_TEST((table.statusOf(poison, start) == suspect_status::suspect));

    peer.recordCrash(poison, second, start + 1s);
    const core::crash_news news = table.merge({peer.records(start + 5s), {}}, start + 5s);
    BOOST_TEST(news.crashes.size() == 1U);
    BOOST_TEST((table.statusOf(poison, start + 5s) == suspect_status::refused));
    BOOST_TEST((table.statusOf(poison, start + 1s + 10min) == suspect_status::clear));
}

BOOST_AUTO_TEST_CASE(batches_are_bounded_and_leave_out_what_was_cleared_after_they_began)
{
    suspects::suspect_table table;
    constexpr std::uint64_t count = 3'000;
    for (std::uint64_t fingerprint = 1; fingerprint <= count; ++fingerprint) {
        table.recordCrash(fingerprint, first, start);
    }
    suspects::crash_batches batches(table);
    const auto firstBatch = batches.next(start);
    BOOST_REQUIRE(firstBatch.has_value());
    table.recordAnswer(count, start + 1s);
    std::size_t read = firstBatch->crashes.size();
    while (const auto batch = batches.next(start + 2s)) {
        BOOST_TEST(batch->crashes.size() <= suspects::crash_batches::batchSize);
        BOOST_TEST((batch->crashes.front().age == 2s));
        read += batch->crashes.size();
    }
    BOOST_TEST(read == count - 1);
}

BOOST_AUTO_TEST_CASE(faded_empty_and_future_records_of_peers_do_no_harm)
{
    suspects::suspect_table table;
    const core::crash_news received = {{{1, 7, 11min, 0ms}, {3, 7, -24h, 0ms}, {4, 7, 1s, -24h}},
                                       {{2, 0ms}, {4, -24h}}};
    table.merge(received, start);
    BOOST_TEST(table.size() == 1U);
    BOOST_TEST((table.statusOf(3, start + 10min) == suspect_status::clear));
}

BOOST_AUTO_TEST_CASE(copies_that_run_at_once_when_many_targets_go_count_once)
{
    suspects::suspect_table table;
    table.recordCrash(poison, first, start, 400ms);
    table.recordCrash(poison, second, start + 200ms, 500ms);
    BOOST_TEST((table.statusOf(poison, start + 200ms) == suspect_status::suspect));
    // This run began after both targets had crashed.
    table.recordCrash(poison, {"e-3", 100}, start + 900ms, 300ms);
    BOOST_TEST((table.statusOf(poison, start + 900ms) == suspect_status::refused));
}

BOOST_AUTO_TEST_CASE(an_answer_that_a_peer_saw_clears_crashes_before_it_only)
{
    suspects::suspect_table table;
    table.recordCrash(poison, first, start);
    BOOST_TEST(table.merge({{}, {{poison, 5s}}}, start + 2s).empty());
    BOOST_TEST((table.statusOf(poison, start + 2s) == suspect_status::suspect));
    BOOST_TEST(table.merge({{}, {{poison, 1s}}}, start + 2s).acquittals.size() == 1U);
    BOOST_TEST((table.statusOf(poison, start + 2s) == suspect_status::clear));
}
