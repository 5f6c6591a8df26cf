#include <medlarrack/overload/byte_account.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

using namespace medlarrack::overload;

namespace {

constexpr std::size_t step = 10;

/// A message that takes a step whenever there is room.
struct growing_message
{
    growing_message(byte_account &account, const std::string &from, std::size_t whole)
        : holder(from)
        , size(whole)
        , holding(account.hold(from, [this] {
            mayGrow = true;
        }))
    {
    }

    void grow()
    {
        bytes = std::min(size, bytes + step);
        mayGrow = holding->resize(bytes);
    }

    /// Grows until it has to wait or is whole.
    void growOn()
    {
        while (mayGrow && bytes < size) {
            grow();
        }
    }

    std::string holder;
    std::size_t size;
    std::size_t bytes = 0;
    bool mayGrow = true;
    std::unique_ptr<byte_holding> holding;
};

} // namespace

BOOST_AUTO_TEST_CASE(the_bytes_of_a_holding_count_until_it_ends)
{
    byte_account account(1'000, 100, step);
    {
        const auto holding = account.hold("a", [] {});
        BOOST_TEST(holding->resize(50));
        BOOST_TEST(account.heldBytes() == 50U);
        BOOST_TEST(holding->resize(20));
        BOOST_TEST(account.heldBytes() == 20U);
    }
    BOOST_TEST(account.heldBytes() == 0U);
}

BOOST_AUTO_TEST_CASE(holders_that_flood_leave_room_for_one_more)
{
    for (const int holders : {1, 2, 4, 8}) {
        BOOST_TEST_CONTEXT(holders << " holders")
        {
            constexpr std::size_t limit = 20'000;
            constexpr std::size_t maxHolding = 1'000;
            byte_account account(limit, maxHolding, step);
            std::vector<std::unique_ptr<growing_message>> flood;
            for (int index = 0; index < 200; ++index) {
                flood.push_back(std::make_unique<growing_message>(
                    account, "flooding " + std::to_string(index % holders), maxHolding));
                flood.back()->growOn();
            }
            BOOST_TEST(account.waiting() > 0U);
            BOOST_TEST(account.heldBytes() <= limit);
            growing_message other(account, "other", limit / 100);
            other.growOn();
            BOOST_TEST(other.bytes == other.size);
        }
    }
}

BOOST_AUTO_TEST_CASE(holdings_are_told_of_room_in_the_order_in_which_they_began_to_wait)
{
    byte_account account(100, 10, step);
    std::vector<int> told;
    auto big = account.hold("a", [] {});
    BOOST_TEST(big->resize(100));
    std::vector<std::unique_ptr<byte_holding>> waiting;
    for (int index = 0; index < 3; ++index) {
        waiting.push_back(account.hold("holder " + std::to_string(index), [&told, index] {
            told.push_back(index);
        }));
        BOOST_TEST(!waiting.back()->resize(1));
    }
    BOOST_TEST(account.waiting() == 3U);
    big.reset();
    BOOST_TEST(told == (std::vector<int>{0, 1, 2}), boost::test_tools::per_element());
    BOOST_TEST(account.waiting() == 0U);
}

BOOST_AUTO_TEST_CASE(a_higher_limit_counts_for_those_that_wait)
{
    byte_account account(100, 100, step);
    growing_message first(account, "a", 90);
    first.growOn();
    growing_message second(account, "b", 90);
    second.growOn();
    BOOST_TEST(!second.mayGrow);
    account.setLimits(10'000, 100);
    second.growOn();
    BOOST_TEST(second.bytes == 90U);
}

// Each in turn would fill the account as the oldest one that grows.
BOOST_AUTO_TEST_CASE(complete_messages_can_be_kept_within_the_share_only)
{
    byte_account account(1'000, 100, step);
    std::vector<std::unique_ptr<growing_message>> kept;
    for (int index = 0; index < 50; ++index) {
        auto message = std::make_unique<growing_message>(account, "a", 100);
        message->growOn();
        BOOST_REQUIRE(message->bytes == 100U);
        if (message->holding->settle()) {
            kept.push_back(std::move(message));
        }
    }
    BOOST_TEST(kept.size() == 3U);
    BOOST_TEST(account.heldBytes() == 300U);
}

// Messages that are kept whole until their last byte must not wait for each other.
BOOST_AUTO_TEST_CASE(all_messages_become_whole_below_the_limit_in_any_order)
{
    constexpr std::size_t limit = 1'000;
    constexpr std::size_t maxMessages = 40;
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            std::minstd_rand random(seed);
            const std::uint32_t holders = 1 + random() % 12;
            byte_account account(limit, 200, step);
            std::vector<std::unique_ptr<growing_message>> messages;
            std::size_t begun = 0;
            std::size_t idleRounds = 0;
            while (begun < 150 || !messages.empty()) {
                if (begun < 150 && messages.size() < maxMessages && random() % 3 == 0) {
                    ++begun;
                    messages.push_back(std::make_unique<growing_message>(
                        account, "holder " + std::to_string(random() % holders), 1 + random() % 200));
                }
                bool grown = false;
                std::shuffle(messages.begin(), messages.end(), random);
                for (const auto &message : messages) {
                    if (message->mayGrow && random() % 2 == 0) {
                        message->grow();
                        grown = true;
                    }
                }
                BOOST_REQUIRE(account.heldBytes() <= limit + maxMessages * step);
                idleRounds = grown ? 0 : idleRounds + 1;
                BOOST_REQUIRE(idleRounds < 100);
                // A caller now and then leaves before its message is whole.
                std::erase_if(messages, [&random](const auto &message) {
                    return message->bytes == message->size || random() % 200 == 0;
                });
            }
            BOOST_TEST(account.heldBytes() == 0U);
            BOOST_TEST(account.waiting() == 0U);
        }
    }
}

// Guards against giving holdings the room that is taken by what connections keep in small pieces.
BOOST_AUTO_TEST_CASE(bytes_outside_of_holdings_take_room_from_them)
{
    byte_account account(1'000, 100, step);
    const growing_message oldest(account, "a", 100);
    growing_message other(account, "b", 100);
    account.setUnshared(890);
    other.grow();
    BOOST_TEST(!other.mayGrow);
    BOOST_TEST(!account.isOverfull());
    account.setUnshared(1'300);
    BOOST_TEST(account.isOverfull());
    account.setUnshared(0);
    BOOST_TEST(other.mayGrow);
    BOOST_TEST(account.heldBytes() == step);
}
