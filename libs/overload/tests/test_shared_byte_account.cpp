#include <medlarrack/core/manual_clock.hpp>
#include <medlarrack/overload/shared_byte_account.hpp>

#include <boost/test/unit_test.hpp>

using namespace medlarrack;
using namespace medlarrack::overload;

namespace {

constexpr std::size_t step = 10;

struct account_fixture
{
    core::manual_clock clock;
    std::uint64_t reports = 0;
    std::uint64_t unreported = 0;
    shared_byte_account account{1'000, 100, step, clock,
                                [this](const core::turned_away_peer &, std::size_t, std::uint64_t left) {
                                    ++reports;
                                    unreported += left;
                                }};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(shared_account, account_fixture)

// Guards against bytes that are counted twice or never given back.
BOOST_AUTO_TEST_CASE(bytes_of_claims_and_others_are_counted_until_they_are_given_back)
{
    {
        const auto claim = account.claim("a", [] {});
        BOOST_TEST(claim->resize(50));
        account.addUnclaimed(30);
        BOOST_TEST(account.heldBytes() == 80U);
        claim->settle();
        BOOST_TEST(claim->resize(20));
        BOOST_TEST(account.heldBytes() == 50U);
    }
    BOOST_TEST(account.heldBytes() == 30U);
    account.addUnclaimed(-30);
    BOOST_TEST(account.heldBytes() == 0U);
}

// Guards against a claim that waits on although responses have been taken.
BOOST_AUTO_TEST_CASE(a_claim_hears_of_room_that_others_give_back)
{
    bool hasRoom = false;
    const auto first = account.claim("a", [] {});
    const auto second = account.claim("b", [&] {
        hasRoom = true;
    });
    account.addUnclaimed(990);
    BOOST_TEST(account.isFull() == false);
    BOOST_TEST(first->resize(20));
    BOOST_TEST(!second->resize(20));
    BOOST_TEST(account.isFull());
    account.addUnclaimed(-800);
    BOOST_TEST(hasRoom);
    account.addUnclaimed(2'000);
    BOOST_TEST(account.isOverfull());
}

// Guards against a log that grows with the number of peers that are turned away.
BOOST_AUTO_TEST_CASE(reports_are_limited_and_the_others_counted)
{
    constexpr std::uint64_t peers = 1'000;
    for (std::uint64_t index = 0; index < peers; ++index) {
        account.recordTurnedAway({"no_memory", "a test", "a", 1});
    }
    BOOST_TEST(reports == 5U);
    clock.advance(std::chrono::seconds(1));
    account.recordTurnedAway({"no_memory", "a test", "a", 1});
    BOOST_TEST(reports == 6U);
    BOOST_TEST(unreported == peers - 5U);
    BOOST_TEST(account.turnedAway() == peers + 1U);
}

BOOST_AUTO_TEST_SUITE_END()
