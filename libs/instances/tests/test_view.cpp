#include <medlarrack/instances/view.hpp>

#include <boost/test/unit_test.hpp>

using namespace medlarrack;
using namespace medlarrack::instances;
using namespace std::chrono_literals;

namespace {

instance engineSidecar(const std::string &id, bool leaving = false)
{
    instance result;
    result.id = id;
    result.target = target_kind::engine;
    result.group = "assistant";
    result.dataCentre = "osijek";
    result.leaving = leaving;
    return result;
}

instance_list listAt(std::chrono::milliseconds asOf, std::vector<instance> instances)
{
    return {core::wall_time(asOf), std::move(instances)};
}

bool isLeaving(const view &fleet, std::string_view id)
{
    const auto found = fleet.find(id);
    return found && found->leaving;
}

constexpr core::monotonic_time start{1s};

} // namespace

BOOST_AUTO_TEST_CASE(an_older_list_changes_nothing)
{
    view fleet;
    BOOST_TEST(!fleet.lastRead());
    BOOST_TEST(fleet.apply(listAt(200ms, {engineSidecar("b"), engineSidecar("a")}), start));
    BOOST_TEST(!fleet.apply(listAt(100ms, {}), start + 5s));
    BOOST_TEST((fleet.lastRead() == start));
    BOOST_TEST(fleet.current()->instances.size() == 2U);
    BOOST_TEST(fleet.current()->instances.front().id == "a");
}

BOOST_AUTO_TEST_CASE(the_same_list_again_counts_as_read_but_not_as_a_change)
{
    view fleet;
    BOOST_TEST(fleet.apply(listAt(200ms, {engineSidecar("a")}), start));
    BOOST_TEST(!fleet.apply(listAt(200ms, {engineSidecar("a")}), start + 5s));
    BOOST_TEST((fleet.lastRead() == start + 5s));
}

BOOST_AUTO_TEST_CASE(leaving_said_by_the_instance_itself_is_not_taken_back_by_lists)
{
    view fleet;
    fleet.apply(listAt(100ms, {engineSidecar("a"), engineSidecar("b")}), start);
    const auto before = fleet.current();
    fleet.markLeaving("a", 5);
    BOOST_TEST(isLeaving(fleet, "a"));
    BOOST_TEST(!before->instances.front().leaving);
    fleet.apply(listAt(900ms, {engineSidecar("a"), engineSidecar("b")}), start + 1s);
    BOOST_TEST(isLeaving(fleet, "a"));
    BOOST_TEST(!isLeaving(fleet, "b"));
    BOOST_TEST(fleet.group("assistant").size() == 2U);
}

BOOST_AUTO_TEST_CASE(only_a_later_incarnation_takes_leaving_back)
{
    view fleet;
    fleet.apply(listAt(100ms, {engineSidecar("a"), engineSidecar("b", true)}), start);
    fleet.markLeaving("a", 5);
    fleet.markServing("a", 5);
    BOOST_TEST(isLeaving(fleet, "a"));
    fleet.markServing("a", 6);
    BOOST_TEST(!isLeaving(fleet, "a"));
    fleet.markServing("b", 6);
    BOOST_TEST(isLeaving(fleet, "b"));
}

BOOST_AUTO_TEST_CASE(leaving_heard_before_the_list_names_the_instance_counts_when_it_does)
{
    view fleet;
    fleet.markLeaving("a");
    fleet.apply(listAt(100ms, {}), start);
    fleet.apply(listAt(200ms, {engineSidecar("a")}), start + 1s);
    BOOST_TEST(isLeaving(fleet, "a"));
}

BOOST_AUTO_TEST_CASE(what_a_gone_instance_said_is_forgotten_after_many_lists_without_it)
{
    view fleet;
    fleet.markLeaving("a");
    for (int round = 1; round <= 20; ++round) {
        fleet.apply(listAt(round * 100ms, {}), start);
    }
    fleet.apply(listAt(9s, {engineSidecar("a")}), start + 1s);
    BOOST_TEST(!isLeaving(fleet, "a"));
}

BOOST_AUTO_TEST_CASE(entries_with_the_same_id_are_merged_to_the_safe_side)
{
    view fleet;
    fleet.apply(listAt(100ms, {engineSidecar("a"), engineSidecar("b"), engineSidecar("a", true)}), start);
    BOOST_TEST(fleet.current()->instances.size() == 2U);
    BOOST_TEST(isLeaving(fleet, "a"));
    BOOST_TEST(fleet.group("unknown").empty());
    BOOST_TEST(!fleet.find("c"));
}
