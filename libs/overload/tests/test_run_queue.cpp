#include <medlarrack/overload/run_queue.hpp>

#include <boost/test/unit_test.hpp>

#include <map>

using namespace medlarrack;
using namespace medlarrack::overload;
using namespace std::chrono_literals;
using core::request_class;

namespace {

constexpr core::monotonic_time start{};

queue_item makeItem(std::uint64_t id, request_class priority, std::string operatorName)
{
    queue_item item;
    item.id = id;
    item.priority = priority;
    item.operatorName = std::move(operatorName);
    item.enqueued = start;
    item.deadline = start + 30s;
    return item;
}

bool mayAlwaysRun(const queue_item & /*item*/)
{
    return true;
}

} // namespace

BOOST_AUTO_TEST_CASE(higher_classes_are_served_first)
{
    run_queue queue({});
    BOOST_TEST(queue.push(makeItem(1, request_class::bulk, "a"), 1, start).queued);
    BOOST_TEST(queue.push(makeItem(2, request_class::interactive, "a"), 1, start).queued);
    BOOST_TEST(queue.push(makeItem(3, request_class::control, "a"), 1, start).queued);
    BOOST_TEST(queue.pop(mayAlwaysRun)->id == 3U);
    BOOST_TEST(queue.pop(mayAlwaysRun)->id == 2U);
    BOOST_TEST(queue.pop(mayAlwaysRun)->id == 1U);
    BOOST_TEST(!queue.pop(mayAlwaysRun));
}

BOOST_AUTO_TEST_CASE(operators_get_shares_in_proportion_to_their_weights)
{
    run_queue queue({});
    queue.setWeight("heavy", 3);
    for (std::uint64_t i = 0; i < 100; ++i) {
        BOOST_TEST(queue.push(makeItem(i, request_class::interactive, "light"), 1, start).queued);
        BOOST_TEST(queue.push(makeItem(1000 + i, request_class::interactive, "heavy"), 1, start).queued);
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 80; ++i) {
        ++served[queue.pop(mayAlwaysRun)->operatorName];
    }
    BOOST_TEST(served["heavy"] == 60);
    BOOST_TEST(served["light"] == 20);
}

BOOST_AUTO_TEST_CASE(a_newcomer_does_not_wait_behind_an_operators_flood)
{
    run_queue queue({});
    for (std::uint64_t i = 0; i < 100; ++i) {
        BOOST_TEST(queue.push(makeItem(i, request_class::interactive, "flood"), 1, start).queued);
    }
    for (int i = 0; i < 50; ++i) {
        (void)queue.pop(mayAlwaysRun);
    }
    BOOST_TEST(queue.push(makeItem(500, request_class::interactive, "small"), 1, start).queued);
    const auto first = queue.pop(mayAlwaysRun);
    const auto second = queue.pop(mayAlwaysRun);
    BOOST_TEST((first->id == 500U || second->id == 500U));
}

BOOST_AUTO_TEST_CASE(service_order_is_what_pop_then_does)
{
    run_queue queue({});
    queue.setWeight("b", 2);
    for (std::uint64_t i = 0; i < 30; ++i) {
        const auto priority = core::allRequestClasses.at(i % 3);
        BOOST_TEST(queue.push(makeItem(i, priority, i % 2 == 0 ? "a" : "b"), 1, start).queued);
    }
    std::vector<std::uint64_t> predicted;
    for (const queue_item *item : queue.inServiceOrder()) {
        predicted.push_back(item->id);
    }
    for (std::uint64_t id : predicted) {
        BOOST_TEST(queue.pop(mayAlwaysRun)->id == id);
    }
}

BOOST_AUTO_TEST_CASE(items_that_may_not_run_are_passed_over)
{
    run_queue queue({});
    BOOST_TEST(queue.push(makeItem(1, request_class::control, "a"), 1, start).queued);
    BOOST_TEST(queue.push(makeItem(2, request_class::bulk, "a"), 1, start).queued);
    BOOST_TEST(queue
                   .pop([](const queue_item &item) {
                       return item.id == 2;
                   })
                   ->id
               == 2U);
    BOOST_TEST(queue.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_full_queue_drops_the_newest_of_the_lowest_class)
{
    run_queue queue({.maxLength = 3, .maxPerOperator = 10, .maxBytes = 1000});
    BOOST_TEST(queue.push(makeItem(1, request_class::bulk, "a"), 1, start).queued);
    BOOST_TEST(queue.push(makeItem(2, request_class::bulk, "a"), 1, start).queued);
    BOOST_TEST(queue.push(makeItem(3, request_class::interactive, "a"), 1, start).queued);
    const auto result = queue.push(makeItem(4, request_class::control, "a"), 1, start);
    BOOST_TEST(result.queued);
    BOOST_REQUIRE(result.displaced.size() == 1U);
    BOOST_TEST(result.displaced[0].id == 2U);
    const auto refused = queue.push(makeItem(5, request_class::bulk, "a"), 1, start);
    BOOST_TEST(!refused.queued);
    BOOST_TEST(refused.why.code == "queue_full");
}

BOOST_AUTO_TEST_CASE(in_a_full_queue_a_small_operator_displaces_the_largest_one)
{
    run_queue queue({.maxLength = 4, .maxPerOperator = 10, .maxBytes = 1000});
    for (std::uint64_t i = 1; i <= 4; ++i) {
        BOOST_TEST(queue.push(makeItem(i, request_class::interactive, "flood"), 1, start).queued);
    }
    BOOST_TEST(!queue.push(makeItem(5, request_class::interactive, "flood"), 1, start).queued);
    const auto result = queue.push(makeItem(6, request_class::interactive, "small"), 1, start);
    BOOST_TEST(result.queued);
    BOOST_REQUIRE(result.displaced.size() == 1U);
    BOOST_TEST(result.displaced[0].id == 4U);
}

BOOST_AUTO_TEST_CASE(bytes_are_bounded_and_a_failed_displacement_changes_nothing)
{
    run_queue queue({.maxLength = 10, .maxPerOperator = 10, .maxBytes = 100});
    auto first = makeItem(1, request_class::bulk, "a");
    first.bytes = 40;
    auto second = makeItem(2, request_class::interactive, "a");
    second.bytes = 60;
    BOOST_TEST(queue.push(first, 1, start).queued);
    BOOST_TEST(queue.push(second, 1, start).queued);
    auto large = makeItem(3, request_class::interactive, "a");
    large.bytes = 70;
    const auto refused = queue.push(large, 1, start);
    BOOST_TEST(!refused.queued);
    BOOST_TEST(refused.displaced.empty());
    BOOST_TEST(queue.size() == 2U);
    BOOST_TEST(queue.bytes() == 100U);
}

BOOST_AUTO_TEST_CASE(one_operator_may_not_fill_the_queue)
{
    run_queue queue({.maxLength = 10, .maxPerOperator = 2, .maxBytes = 1000});
    BOOST_TEST(queue.push(makeItem(1, request_class::bulk, "a"), 1, start).queued);
    BOOST_TEST(queue.push(makeItem(2, request_class::control, "a"), 1, start).queued);
    const auto refused = queue.push(makeItem(3, request_class::control, "a"), 1, start);
    BOOST_TEST(refused.why.code == "operator_queue_full");
    BOOST_TEST(queue.push(makeItem(4, request_class::bulk, "b"), 1, start).queued);
}

BOOST_AUTO_TEST_CASE(work_that_cannot_make_its_deadline_is_refused_at_once)
{
    run_queue queue({});
    queue.estimate().record(request_class::interactive, 10s);
    for (std::uint64_t i = 0; i < 4; ++i) {
        BOOST_TEST(queue.push(makeItem(i, request_class::interactive, "a"), 2, start).queued);
    }
    auto urgent = makeItem(9, request_class::interactive, "a");
    urgent.deadline = start + 15s;
    const auto refused = queue.push(urgent, 2, start);
    BOOST_TEST(refused.why.code == "deadline_unreachable");
    BOOST_TEST((refused.retryAfter == 20s));
    // Control requests are served before the others.
    auto control = makeItem(10, request_class::control, "a");
    control.deadline = start + 1s;
    BOOST_TEST(queue.push(control, 2, start).queued);
}

BOOST_AUTO_TEST_CASE(late_requests_are_taken_out)
{
    run_queue queue({});
    auto early = makeItem(1, request_class::bulk, "a");
    early.deadline = start + 1s;
    BOOST_TEST(queue.push(early, 1, start).queued);
    BOOST_TEST(queue.push(makeItem(2, request_class::bulk, "a"), 1, start).queued);
    BOOST_TEST((queue.nextDeadline() == start + 1s));
    BOOST_TEST(queue.removeExpired(start + 999ms).empty());
    BOOST_TEST(queue.removeExpired(start + 1s).size() == 1U);
    BOOST_TEST(queue.size() == 1U);
    BOOST_TEST(queue.remove(2).has_value());
    BOOST_TEST(!queue.remove(2).has_value());
    BOOST_TEST(queue.size() == 0U);
    BOOST_TEST(queue.bytes() == 0U);
}
