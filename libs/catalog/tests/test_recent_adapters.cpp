#include <medlarrack/catalog/recent_adapters.hpp>

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <cstdint>
#include <random>
#include <string>

using medlarrack::catalog::recent_adapters;

namespace {

std::string name(std::size_t index)
{
    return "m/a" + std::to_string(index);
}

/// An engine whose memory keeps the adapters added last, with requests for adapters of Zipf-distributed popularity.
std::size_t learnedCapacity(std::size_t kept, std::uint32_t seed)
{
    constexpr double adapters = 600;
    std::mt19937 random(seed);
    recent_adapters recent;
    for (std::size_t load = 0; load < 10'000; ++load) {
        const double draw = std::uniform_real_distribution<double>(0, 1)(random);
        const std::string adapter = name(static_cast<std::size_t>(std::pow(adapters, draw)));
        if (const auto rank = recent.rank(adapter)) {
            recent.recordLoad(adapter, *rank < kept);
        }
        recent.add(adapter);
    }
    return recent.capacity();
}

} // namespace

BOOST_AUTO_TEST_SUITE(recent_adapters_suite)

BOOST_AUTO_TEST_CASE(the_adapter_added_longest_ago_is_evicted_first)
{
    recent_adapters recent;
    recent.setCapacity(90);
    for (std::size_t index = 0; index < 90; ++index) {
        recent.add(name(index));
    }
    recent.add(name(0));
    recent.add("m/b");
    BOOST_TEST(recent.capacity() == 90U);
    BOOST_TEST(recent.contains(name(0)));
    BOOST_TEST(!recent.contains(name(1)));
    BOOST_TEST(recent.contains(name(2)));
    BOOST_TEST(recent.contains("m/b"));
    BOOST_TEST(recent.rank("m/b").value() == 0U);
    BOOST_TEST(recent.rank(name(0)).value() == 1U);
    BOOST_TEST(!recent.rank("m/c"));
}

BOOST_AUTO_TEST_CASE(a_process_that_is_told_what_memory_has_knows_the_same)
{
    recent_adapters recent;
    recent.setCapacity(10);
    for (std::size_t index = 0; index < 30; ++index) {
        recent.add(name(index));
    }
    recent.add(name(25));
    const auto told = recent.inMemory();
    BOOST_TEST(told.size() == 10U);
    BOOST_TEST(told.back() == name(25));
    recent_adapters learner;
    learner.setCapacity(10);
    for (const std::string &adapter : told) {
        learner.add(adapter);
    }
    for (std::size_t index = 0; index < 30; ++index) {
        BOOST_TEST(learner.contains(name(index)) == recent.contains(name(index)));
    }
    BOOST_TEST(learner.rank(name(21)).value() == recent.rank(name(21)).value());
    BOOST_TEST(recent_adapters().inMemory().empty());
}

BOOST_AUTO_TEST_CASE(the_remembered_adapters_are_bounded)
{
    constexpr std::size_t bound = 512;
    recent_adapters recent;
    recent.setCapacity(100'000);
    BOOST_TEST(recent.capacity() == bound);
    for (std::size_t index = 0; index < 2'000; ++index) {
        recent.add(name(index));
    }
    BOOST_TEST(recent.inMemory().size() == bound);
    BOOST_TEST(!recent.rank(name(2'000 - bound - 1)));
    BOOST_TEST(recent.rank(name(2'000 - bound)).value() == bound - 1);
}

BOOST_AUTO_TEST_CASE(the_capacity_of_an_engines_memory_is_learned_from_its_loads)
{
    for (const std::size_t kept : {12U, 48U, 54U, 102U, 200U}) {
        constexpr std::uint32_t seed = 20261204;
        const std::size_t learned = learnedCapacity(kept, seed);
        BOOST_TEST_CONTEXT("an engine that keeps " << kept << ", seed " << seed)
        {
            BOOST_TEST(learned >= kept * 3 / 4);
            BOOST_TEST(learned <= kept * 4 / 3);
        }
    }
}

BOOST_AUTO_TEST_CASE(one_adapter_that_the_memory_lost_does_not_discard_the_capacity)
{
    recent_adapters recent;
    recent.add(name(1));
    recent.add(name(2));
    const std::size_t before = recent.capacity();
    recent.recordLoad(name(1), false);
    BOOST_TEST(recent.capacity() >= before / 2);
    recent.recordLoad("m/unknown", false);
    BOOST_TEST(recent.capacity() >= before / 2);
}

BOOST_AUTO_TEST_SUITE_END()
