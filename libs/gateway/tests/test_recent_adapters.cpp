#include <medlarrack/gateway/recent_adapters.hpp>

#include <boost/test/unit_test.hpp>

#include <string>

using medlarrack::gateway::recent_adapters;

BOOST_AUTO_TEST_SUITE(recent_adapters_suite)

BOOST_AUTO_TEST_CASE(the_adapter_added_longest_ago_is_evicted_first)
{
    recent_adapters recent;
    for (int index = 0; index < 90; ++index) {
        recent.add("m/a" + std::to_string(index));
    }
    recent.add("m/a0");
    recent.add("m/b");
    BOOST_TEST(recent.size() == 90U);
    BOOST_TEST(recent.contains("m/a0"));
    BOOST_TEST(!recent.contains("m/a1"));
    BOOST_TEST(recent.contains("m/b"));
}

BOOST_AUTO_TEST_SUITE_END()
