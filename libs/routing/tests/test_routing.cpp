#include <medlarrack/routing/baseline_policies.hpp>
#include <medlarrack/routing/bounded_load_policy.hpp>
#include <medlarrack/routing/router.hpp>

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

using namespace medlarrack;
using namespace std::chrono_literals;
using routing::attempt_result;
using routing::choice_reason;

namespace {

constexpr core::monotonic_time start{1h};
constexpr std::uint64_t adapter = 4711;

std::vector<instances::instance> makeEngines(std::size_t count)
{
    const std::vector<std::string> dataCentres = {"osijek", "vinkovci", "dakovo"};
    std::vector<instances::instance> result;
    for (std::size_t number = 0; number < count; ++number) {
        instances::instance item;
        item.id = "e-" + std::to_string(100'000 + number);
        item.group = "assistant";
        item.dataCentre = dataCentres[number % dataCentres.size()];
        result.push_back(item);
    }
    return result;
}

/// A router with its engines and a manual clock. send() chooses a target and records the attempt.
struct fleet
{
    explicit fleet(std::size_t count, std::unique_ptr<routing::routing_policy> policy = nullptr)
        : listed(makeEngines(count))
        , router({.dataCentre = "osijek"},
                 policy ? std::move(policy) : std::make_unique<routing::bounded_load_policy>())
    {
        router.update(listed, 1, start);
    }

    std::optional<routing::choice> choose(routing::routing_request request)
    {
        request.now = request.now == core::monotonic_time{} ? now : request.now;
        return router.choose(request);
    }

    routing::choice send(routing::routing_request request)
    {
        request.now = now;
        const auto chosen = router.choose(request).value();
        router.onAttemptSent(chosen.target, request);
        return chosen;
    }

    void end(routing::target_index index, attempt_result result, bool suspect = false)
    {
        router.onAttemptEnded(index, {.adapter = adapter, .suspect = suspect, .excluded = {}, .now = now}, result);
    }

    std::vector<instances::instance> listed;
    core::monotonic_time now = start;
    routing::router router;
};

} // namespace

BOOST_AUTO_TEST_CASE(requests_for_one_adapter_go_to_one_home_while_demand_is_low)
{
    fleet fleet(18);
    const auto first = fleet.send({.adapter = adapter, .excluded = {}});
    BOOST_TEST((first.reason == choice_reason::home));
    for (int count = 0; count < 5; ++count) {
        const auto next = fleet.send({.adapter = adapter, .excluded = {}});
        BOOST_TEST(next.target == first.target);
        BOOST_TEST((next.reason == choice_reason::adapter_loaded));
    }
}

BOOST_AUTO_TEST_CASE(two_entries_choose_the_same_home)
{
    fleet one(18);
    fleet other(18);
    for (std::uint64_t hash = 1; hash < 50; ++hash) {
        BOOST_TEST(one.choose({.adapter = hash, .excluded = {}})->target
                   == other.choose({.adapter = hash, .excluded = {}})->target);
    }
}

BOOST_AUTO_TEST_CASE(copies_follow_demand_up_and_down)
{
    fleet fleet(18);
    std::vector<routing::target_index> used;
    for (int count = 0; count < 40; ++count) {
        used.push_back(fleet.send({.adapter = adapter, .excluded = {}}).target);
    }
    const std::set<routing::target_index> copies(used.begin(), used.end());
    BOOST_TEST(copies.size() >= 3U);
    BOOST_TEST(copies.size() <= 8U);

    for (const auto target : used) {
        fleet.end(target, attempt_result::answered);
    }
    fleet.now += 2min;
    BOOST_TEST(fleet.choose({.adapter = adapter, .excluded = {}})->copies == 1U);
}

BOOST_AUTO_TEST_CASE(no_target_gets_much_more_than_the_mean_load)
{
    fleet fleet(18);
    std::map<routing::target_index, int> load;
    constexpr int requests = 18 * 40;
    for (int count = 0; count < requests; ++count) {
        ++load[fleet.send({.adapter = static_cast<std::uint64_t>(1 + count % 5), .excluded = {}}).target];
    }
    for (const auto &[target, sum] : load) {
        BOOST_TEST(sum <= 55);
    }
}

BOOST_AUTO_TEST_CASE(a_target_that_reports_the_adapter_is_preferred_until_it_is_full)
{
    fleet fleet(18);
    const auto home = fleet.choose({.adapter = adapter, .excluded = {}})->target;
    const std::size_t other = home == 3 ? 4 : 3;
    const auto &id = fleet.listed[other].id;
    BOOST_TEST(fleet.router.applyReport(id, {1, 1, 2, 0, 16, 8, {adapter}}, start));
    const auto chosen = fleet.choose({.adapter = adapter, .excluded = {}});
    BOOST_TEST(chosen->target == other);
    BOOST_TEST((chosen->reason == choice_reason::adapter_loaded));

    BOOST_TEST(fleet.router.applyReport(id, {1, 2, 16, 30, 16, 8, {adapter}}, start));
    BOOST_TEST(fleet.choose({.adapter = adapter, .excluded = {}})->target != other);
}

BOOST_AUTO_TEST_CASE(stale_and_repeated_reports_are_ignored_and_a_new_incarnation_restarts_the_sequence)
{
    fleet fleet(3);
    const auto &id = fleet.listed[0].id;
    BOOST_TEST(fleet.router.applyReport(id, {1, 5, 3, 0, 16, 8, {}}, start));
    BOOST_TEST(!fleet.router.applyReport(id, {1, 5, 9, 0, 16, 8, {}}, start));
    BOOST_TEST(!fleet.router.applyReport(id, {1, 4, 9, 0, 16, 8, {}}, start));
    BOOST_TEST(fleet.router.applyReport(id, {2, 1, 1, 0, 16, 8, {}}, start));
    BOOST_TEST(!fleet.router.applyReport(id, {1, 6, 9, 0, 16, 8, {}}, start));
    BOOST_TEST(!fleet.router.applyReport("e-unknown", {1, 6, 9, 0, 16, 8, {}}, start));
    BOOST_TEST(fleet.router.targets().at(0).load() == 1U);
}

BOOST_AUTO_TEST_CASE(load_counts_attempts_sent_and_ended_since_the_last_report)
{
    fleet fleet(1);
    fleet.send({.adapter = adapter, .excluded = {}});
    BOOST_TEST(fleet.router.applyReport(fleet.listed[0].id, {1, 1, 6, 0, 16, 8, {}}, start));
    fleet.send({.adapter = adapter, .excluded = {}});
    fleet.send({.adapter = adapter, .excluded = {}});
    BOOST_TEST(fleet.router.targets().at(0).load() == 8U);
    fleet.end(0, attempt_result::answered);
    BOOST_TEST(fleet.router.targets().at(0).load() == 7U);
    BOOST_TEST(fleet.router.targets().meanLoad() == 7.0);
}

BOOST_AUTO_TEST_CASE(leaving_and_excluded_targets_are_never_chosen)
{
    fleet fleet(3);
    BOOST_TEST(fleet.router.markLeaving(fleet.listed[1].id));
    BOOST_TEST(!fleet.router.markLeaving(fleet.listed[1].id));
    const std::vector<routing::target_index> tried = {0};
    for (std::uint64_t hash = 0; hash < 100; ++hash) {
        BOOST_TEST(fleet.choose({.adapter = hash, .excluded = tried})->target == 2U);
    }
    const std::vector<routing::target_index> allLive = {0, 2};
    BOOST_TEST(!fleet.choose({.adapter = adapter, .excluded = allLive}));

    // The instance list is authoritative: the target stays excluded while the list shows it as leaving and returns,
    // with slow start, when the list no longer does.
    fleet.listed[1].leaving = true;
    fleet.router.update(fleet.listed, 1, start);
    BOOST_TEST(!fleet.choose({.adapter = adapter, .excluded = allLive}));
    fleet.listed[1].leaving = false;
    fleet.router.update(fleet.listed, 1, start);
    BOOST_TEST(fleet.choose({.adapter = adapter, .excluded = allLive})->target == 1U);
    BOOST_TEST(fleet.router.targets().slowStartFactor(1, start) < 1);
}

BOOST_AUTO_TEST_CASE(a_failed_target_is_skipped_during_its_backoff_and_then_gets_a_single_attempt)
{
    fleet fleet(2);
    const auto home = fleet.send({.adapter = adapter, .excluded = {}}).target;
    fleet.end(home, attempt_result::failed);
    BOOST_TEST(fleet.choose({.adapter = adapter, .excluded = {}})->target != home);

    fleet.now += 300ms;
    BOOST_TEST(fleet.send({.adapter = adapter, .excluded = {}}).target == home);
    BOOST_TEST(fleet.choose({.adapter = adapter, .excluded = {}})->target != home);
    fleet.end(home, attempt_result::answered);
    BOOST_TEST(fleet.choose({.adapter = adapter, .excluded = {}})->target == home);
}

BOOST_AUTO_TEST_CASE(when_all_targets_are_in_backoff_one_is_chosen_as_a_last_resort)
{
    fleet fleet(2);
    for (int count = 0; count < 2; ++count) {
        fleet.end(fleet.send({.adapter = adapter, .excluded = {}}).target, attempt_result::failed);
    }
    const auto chosen = fleet.choose({.adapter = adapter, .excluded = {}});
    BOOST_TEST((chosen->reason == choice_reason::last_resort));
}

BOOST_AUTO_TEST_CASE(a_new_target_gets_limited_load_during_slow_start)
{
    fleet fleet(3);
    for (int count = 0; count < 120; ++count) {
        fleet.send({.adapter = static_cast<std::uint64_t>(count % 30 + 1), .excluded = {}});
    }
    fleet.listed = makeEngines(4);
    fleet.router.update(fleet.listed, 1, start);
    for (int count = 0; count < 40; ++count) {
        fleet.send({.adapter = static_cast<std::uint64_t>(count % 30 + 1), .excluded = {}});
    }
    BOOST_TEST(fleet.router.targets().at(3).load() <= 6U);
    fleet.now += 1min;
    for (int count = 0; count < 40; ++count) {
        fleet.send({.adapter = static_cast<std::uint64_t>(count % 30 + 1), .excluded = {}});
    }
    BOOST_TEST(fleet.router.targets().at(3).load() >= 20U);
}

BOOST_AUTO_TEST_CASE(suspects_never_share_a_target_and_other_requests_avoid_theirs)
{
    fleet fleet(3);
    const auto one = fleet.send({.adapter = adapter, .suspect = true, .excluded = {}});
    const auto two = fleet.send({.adapter = adapter, .suspect = true, .excluded = {}});
    BOOST_TEST((one.reason == choice_reason::suspect_alone));
    BOOST_TEST(one.target != two.target);
    const auto regular = fleet.send({.adapter = adapter, .excluded = {}});
    BOOST_TEST(regular.target != one.target);
    BOOST_TEST(regular.target != two.target);
    fleet.send({.adapter = adapter, .suspect = true, .excluded = {}});
    BOOST_TEST(!fleet.choose({.adapter = adapter, .suspect = true, .excluded = {}}));
}

BOOST_AUTO_TEST_CASE(equal_keys_of_a_service_prefer_the_same_target)
{
    fleet fleet(3);
    const auto first = fleet.send({.key = 99, .excluded = {}});
    BOOST_TEST((first.reason == choice_reason::key_home));
    BOOST_TEST(fleet.send({.key = 99, .excluded = {}}).target == first.target);
    const std::vector<routing::target_index> tried = {first.target};
    BOOST_TEST(fleet.choose({.key = 99, .excluded = tried})->target != first.target);
}

BOOST_AUTO_TEST_CASE(of_equally_loaded_targets_a_local_one_is_chosen)
{
    fleet fleet(3);
    for (int count = 0; count < 20; ++count) {
        BOOST_TEST(fleet.choose({.excluded = {}})->target == 0U);
    }
}

BOOST_AUTO_TEST_CASE(a_removed_target_moves_only_its_own_adapters)
{
    fleet fleet(30);
    std::map<std::uint64_t, routing::target_index> homes;
    for (std::uint64_t hash = 1; hash <= 300; ++hash) {
        homes[hash] = fleet.choose({.adapter = hash, .excluded = {}})->target;
    }
    auto fewer = fleet.listed;
    fewer.erase(fewer.begin() + 7);
    fleet.router.update(fewer, 1, start);
    for (const auto &[hash, home] : homes) {
        const auto now = fleet.choose({.adapter = hash, .excluded = {}})->target;
        BOOST_TEST(((home == 7) != (now == home)));
    }
    // When the target is listed again, it becomes the home of its adapters again.
    fleet.router.update(fleet.listed, 1, start);
    fleet.now += 1min;
    for (const auto &[hash, home] : homes) {
        BOOST_TEST(fleet.choose({.adapter = hash, .excluded = {}})->target == home);
    }
}

BOOST_AUTO_TEST_CASE(an_attempt_can_end_after_its_target_was_unlisted)
{
    fleet fleet(2);
    const auto target = fleet.send({.adapter = adapter, .excluded = {}}).target;
    fleet.router.update({}, 1, start);
    BOOST_TEST(!fleet.choose({.adapter = adapter, .excluded = {}}));
    fleet.router.update(fleet.listed, 1, start);
    fleet.end(target, attempt_result::answered);
    BOOST_TEST(fleet.choose({.adapter = adapter, .excluded = {}}).has_value());
    BOOST_TEST(fleet.router.targets().meanLoad() == 0.0);
}

BOOST_AUTO_TEST_CASE(baselines_never_choose_leaving_or_excluded_targets)
{
    const std::vector<routing::target_index> tried = {0};
    for (int kind = 0; kind < 3; ++kind) {
        std::unique_ptr<routing::routing_policy> policy;
        if (kind == 0) {
            policy = std::make_unique<routing::random_policy>(7);
        } else if (kind == 1) {
            policy = std::make_unique<routing::least_outstanding_policy>();
        } else {
            policy = std::make_unique<routing::rendezvous_policy>();
        }
        fleet fleet(3, std::move(policy));
        fleet.router.markLeaving(fleet.listed[1].id);
        for (std::uint64_t hash = 1; hash < 30; ++hash) {
            BOOST_TEST(fleet.choose({.adapter = hash, .excluded = tried})->target == 2U);
        }
    }
}
