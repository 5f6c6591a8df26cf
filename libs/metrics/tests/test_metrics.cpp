#include <medlarrack/metrics/registry.hpp>

#include <boost/test/unit_test.hpp>

using medlarrack::metrics::registry;

BOOST_AUTO_TEST_CASE(series_carry_class_operator_and_code)
{
    registry metrics;
    metrics.count("medlarrack_requests_total", "Requests.", {"bulk", "tuul", "ok"});
    metrics.count("medlarrack_requests_total", "Requests.", {"bulk", "tuul", "ok"}, 2);
    const std::string text = metrics.text();
    BOOST_TEST(text.find("medlarrack_requests_total{class=\"bulk\",code=\"ok\",operator=\"tuul\"} 3")
               != std::string::npos);
}

BOOST_AUTO_TEST_CASE(operators_beyond_the_bound_share_one_series)
{
    registry metrics(2);
    for (const char *name : {"a", "b", "c", "d", "a"}) {
        metrics.observeSeconds("medlarrack_latency_seconds", "Latency.", {"", name, ""}, 0.1);
    }
    const std::string text = metrics.text();
    BOOST_TEST(text.find("medlarrack_latency_seconds_count{operator=\"a\"} 2") != std::string::npos);
    BOOST_TEST(text.find("medlarrack_latency_seconds_count{operator=\"other\"} 2") != std::string::npos);
    BOOST_TEST(text.find("operator=\"c\"") == std::string::npos);
}
