#include <medlarrack/core/manual_clock.hpp>
#include <medlarrack/gateway/admission.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>

using namespace medlarrack;
using namespace medlarrack::gateway;
using std::chrono::milliseconds;

namespace {

struct fixture
{
    core::manual_clock clock;
    admission queue{{8, 1'000}};
    std::uint64_t lastId = 0;

    std::uint64_t add(std::uint32_t urgency, const std::string &tenant = {}, bool isReturning = false,
                      milliseconds left = milliseconds(5'000))
    {
        waiting_request request;
        request.id = ++lastId;
        request.tenant = tenant;
        request.urgency = urgency;
        request.isReturning = isReturning;
        request.bytes = 10;
        request.latestStart = clock.now() + left;
        refused = queue.push(request, clock.now());
        return request.id;
    }

    std::uint64_t next()
    {
        return queue
            .next(
                [](std::uint64_t) {
                    return true;
                },
                clock.now())
            .value_or(0);
    }

    std::vector<admission_refusal> refused;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(admission_queue, fixture)

// Guards against less urgent requests, and first attempts, that are sent before more urgent ones and returning callers.
BOOST_AUTO_TEST_CASE(more_urgent_requests_go_first_and_returning_callers_within_an_urgency)
{
    const std::uint64_t tolerant = add(2);
    const std::uint64_t first = add(1);
    const std::uint64_t returning = add(1, "", true);
    const std::uint64_t urgent = add(0);
    BOOST_TEST(queue.goesBefore(1));
    BOOST_TEST(!queue.goesBefore(0));
    for (const std::uint64_t expected : {urgent, returning, first, tolerant}) {
        BOOST_TEST(next() == expected);
    }
    BOOST_TEST(next() == 0U);
}

// Guards against a tenant that waits behind all requests of a hot one.
BOOST_AUTO_TEST_CASE(tenants_of_one_urgency_share_by_weight)
{
    for (int request = 0; request < 6; ++request) {
        add(1, "hot");
    }
    const std::uint64_t other = add(1, "other");
    const std::set<std::uint64_t> firstTwo{next(), next()};
    BOOST_TEST(firstTwo.contains(other));
}

// Guards against a queue filled by less urgent requests, or by one tenant, when others need the room.
BOOST_AUTO_TEST_CASE(a_full_queue_makes_room_for_more_urgent_requests_and_for_tenants_with_fewer)
{
    for (int request = 0; request < 8; ++request) {
        add(2, "hot");
    }
    add(2, "hot");
    BOOST_REQUIRE(refused.size() == 1U);
    BOOST_TEST(refused.front().id == lastId);
    const std::uint64_t other = add(2, "other");
    BOOST_REQUIRE(refused.size() == 1U);
    BOOST_TEST(refused.front().id == 8U);
    const std::uint64_t urgent = add(0, "hot");
    BOOST_REQUIRE(refused.size() == 1U);
    BOOST_TEST((refused.front().id != urgent && refused.front().id != other));
    BOOST_TEST(refused.front().retryAfter.count() > 0);
    BOOST_TEST(queue.size() == 8U);
    BOOST_TEST(queue.bytes() == 80U);
    BOOST_TEST(next() == urgent);
}

// Guards against requests that wait for an adapter whose engines are full and keep others from engines that are free.
BOOST_AUTO_TEST_CASE(a_request_that_cannot_be_sent_yet_is_passed_over)
{
    const std::uint64_t blocked = add(0);
    const std::uint64_t other = add(2);
    const auto sent = queue.next(
        [blocked](std::uint64_t id) {
            return id != blocked;
        },
        clock.now());
    BOOST_TEST(sent.value_or(0) == other);
    BOOST_TEST(queue.remove(blocked));
    BOOST_TEST(!queue.remove(blocked));
    BOOST_TEST(queue.size() == 0U);
}

// Guards against callers that learn only at their deadline that no capacity was left, and against a Retry-After at
// which there is none.
BOOST_AUTO_TEST_CASE(a_request_is_refused_when_its_deadline_can_no_longer_be_met)
{
    // Ten requests a second leave the queue.
    for (int request = 0; request < 40; ++request) {
        add(1);
        add(1);
        clock.advance(milliseconds(100));
        next();
        if (queue.size() > 5) {
            queue.remove(lastId);
        }
    }
    BOOST_REQUIRE(queue.size() >= 4U);
    const milliseconds wait = queue.expectedWait({.urgency = 1}, clock.now());
    BOOST_TEST((wait > milliseconds(300) && wait < milliseconds(800)));
    add(1, "", false, milliseconds(200));
    BOOST_REQUIRE(refused.size() == 1U);
    BOOST_TEST(refused.front().id == lastId);
    BOOST_TEST((refused.front().retryAfter == wait));
    // A tenant without requests waits for one of the others at most.
    BOOST_TEST((queue.expectedWait({.tenant = "other", .urgency = 1}, clock.now()) < milliseconds(200)));
    // A more urgent one goes before those that wait.
    const std::uint64_t urgent = add(0, "", false, milliseconds(200));
    BOOST_TEST(refused.empty());
    clock.advance(milliseconds(201));
    const auto late = queue.removeLate(clock.now());
    BOOST_REQUIRE(late.size() == 1U);
    BOOST_TEST(late.front().id == urgent);
}

// Load: a fleet with capacity for 100 requests a second gets 160 through one gateway: 60 urgent, 60 of a hot tenant and
// 40 of another one with less urgency. Guards against urgent requests served less often, and against a tenant with less
// than its share.
BOOST_AUTO_TEST_CASE(a_contended_fleet_serves_all_urgent_requests_and_no_tenant_is_starved)
{
    queue = admission({64, 1'000'000});
    std::map<std::string, int> sent;
    std::map<std::string, int> given;
    std::map<std::uint64_t, std::string> kinds;
    for (int step = 0; step < 2'000; ++step) {
        clock.advance(milliseconds(5));
        const auto offer = [&](int perSecond, std::uint32_t urgency, const std::string &tenant) {
            if ((step * perSecond) / 200 != ((step + 1) * perSecond) / 200) {
                kinds[add(urgency, tenant, false, milliseconds(1'000))] = tenant;
                ++given[tenant];
            }
        };
        offer(60, 0, "urgent");
        offer(60, 1, "hot");
        offer(40, 1, "other");
        if (step % 2 == 0) {
            if (const std::uint64_t id = next(); id != 0) {
                ++sent[kinds[id]];
            }
        }
        static_cast<void>(queue.removeLate(clock.now()));
    }
    BOOST_TEST(sent["urgent"] > given["urgent"] * 0.95);
    // The rest of the capacity is 40 a second, of which each has half as its fair share.
    BOOST_TEST(sent["other"] > 10 * 20 * 0.8);
    BOOST_TEST(sent["hot"] > 10 * 20 * 0.8);
    BOOST_TEST(sent["urgent"] + sent["hot"] + sent["other"] > 950);
}

BOOST_AUTO_TEST_SUITE_END()
