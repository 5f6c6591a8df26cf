#include <medlarrack/catalog/route_table.hpp>

#include <boost/test/unit_test.hpp>

#include <map>

using namespace medlarrack::catalog;

namespace {

route makeRoute(std::string host, std::string prefix, std::vector<weighted_service> services = {{"one", 1}})
{
    route result;
    result.name = host + prefix;
    result.host = std::move(host);
    result.prefix = std::move(prefix);
    result.services = std::move(services);
    return result;
}

published_state makeState(std::uint64_t version, std::vector<route> routes)
{
    return {version, std::move(routes), {{"one", 10, {}}}, {}};
}

std::string nameAt(const route_table &table, std::string_view host, std::string_view path)
{
    const auto found = table.find(host, path);
    return found == nullptr ? "" : found->name;
}

} // namespace

BOOST_AUTO_TEST_SUITE(route_table_suite)

BOOST_AUTO_TEST_CASE(the_longest_prefix_wins)
{
    route_table table;
    BOOST_TEST(table.update(makeState(1, {makeRoute("h", "/"), makeRoute("h", "/a/"), makeRoute("h", "/a/b/")})));
    BOOST_TEST(nameAt(table, "h", "/a/b/c") == "h/a/b/");
    BOOST_TEST(nameAt(table, "h", "/a/bc") == "h/a/");
    BOOST_TEST(nameAt(table, "h", "/ab") == "h/");
    BOOST_TEST(nameAt(table, "h", "/a/b?x=/a/b/") == "h/a/");
}

BOOST_AUTO_TEST_CASE(the_host_is_compared_without_case_and_port)
{
    route_table table;
    BOOST_TEST(table.update(makeState(1, {makeRoute("Host.example", "/a/")})));
    BOOST_TEST(nameAt(table, "hOST.Example:8080", "/a/x") == "Host.example/a/");
    BOOST_TEST(nameAt(table, "other", "/a/x").empty());
    BOOST_TEST(nameAt(table, "host.example", "/b/x").empty());
}

BOOST_AUTO_TEST_CASE(an_older_state_is_never_taken)
{
    route_table table;
    BOOST_TEST(table.isEmpty());
    BOOST_TEST(table.update(makeState(7, {makeRoute("h", "/new/")})));
    BOOST_TEST(!table.update(makeState(6, {makeRoute("h", "/old/")})));
    BOOST_TEST(!table.update(makeState(7, {makeRoute("h", "/old/")})));
    BOOST_TEST(table.version() == 7U);
    BOOST_TEST(nameAt(table, "h", "/old/x").empty());
}

BOOST_AUTO_TEST_CASE(a_removed_route_is_gone_with_the_next_state)
{
    route_table table;
    BOOST_TEST(table.update(makeState(1, {makeRoute("h", "/a/"), makeRoute("h", "/b/")})));
    BOOST_TEST(table.update(makeState(2, {makeRoute("h", "/b/")})));
    BOOST_TEST(nameAt(table, "h", "/a/x").empty());
    BOOST_TEST(nameAt(table, "h", "/b/x") == "h/b/");
}

BOOST_AUTO_TEST_CASE(requests_are_distributed_by_weight)
{
    const route split = makeRoute("h", "/", {{"one", 90}, {"two", 10}, {"none", 0}});
    std::map<std::string, int> counts;
    for (std::uint64_t hash = 0; hash < 1'000; ++hash) {
        ++counts[std::string(selectService(split, hash))];
    }
    BOOST_TEST(counts["one"] == 900);
    BOOST_TEST(counts["two"] == 100);
    BOOST_TEST(counts.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_stream_may_be_retried_only_if_it_is_resumable)
{
    route one = makeRoute("h", "/");
    one.retrySafety = retry_safety::idempotent;
    BOOST_TEST(mayRetryAfterStart(one));
    one.streaming = true;
    BOOST_TEST(!mayRetryAfterStart(one));
    one.resumable = true;
    BOOST_TEST(mayRetryAfterStart(one));
}

BOOST_AUTO_TEST_SUITE_END()
