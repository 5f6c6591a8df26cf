#include "engine_protocol.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace medlarrack;
using namespace medlarrack::engine;

BOOST_AUTO_TEST_CASE(a_completion_names_the_resolved_model_and_keeps_the_rest)
{
    target_call call;
    call.model = "farm/nozzle@v3";
    call.priority = core::request_class::bulk;
    call.stream = true;
    call.body = R"({"model":"farm/nozzle","prompt":"p","max_tokens":3,"x":{"y":1}})";
    const auto body = detail::completionBody(call);
    BOOST_REQUIRE(body.has_value());
    const auto parsed = nlohmann::json::parse(*body);
    BOOST_TEST(parsed.at("model").get<std::string>() == "farm/nozzle@v3");
    BOOST_TEST(parsed.at("priority").get<int>() == 2);
    BOOST_TEST(parsed.at("stream").get<bool>());
    BOOST_TEST(parsed.at("x").at("y").get<int>() == 1);
    call.body = "[1]";
    BOOST_TEST(!detail::completionBody(call).has_value());
    call.body = "{";
    BOOST_TEST(!detail::completionBody(call).has_value());
}

BOOST_AUTO_TEST_CASE(answers_to_orders_are_told_apart)
{
    using detail::orderEnd;
    BOOST_TEST((orderEnd(200, "") == order_end::done));
    BOOST_TEST((orderEnd(409, R"({"error":{"code":"old_fence"}})") == order_end::old_fence));
    BOOST_TEST((orderEnd(409, R"({"error":{"code":"in_use"}})") == order_end::in_use));
    BOOST_TEST((orderEnd(507, "") == order_end::no_slot));
    BOOST_TEST((orderEnd(502, "") == order_end::failed));
    BOOST_TEST((orderEnd(503, "") == order_end::store_busy));
    BOOST_TEST((orderEnd(404, "") == order_end::not_loaded));
    BOOST_TEST((orderEnd(400, "") == order_end::failed));
    BOOST_TEST((orderEnd(500, "") == order_end::unknown));
}

BOOST_AUTO_TEST_CASE(only_the_engines_own_refusals_prove_that_nothing_ran)
{
    using detail::isDeclined;
    BOOST_TEST(isDeclined(404, R"({"error":{"code":"unknown_model","message":"m"}})"));
    BOOST_TEST(isDeclined(503, R"({"error":"overloaded"})"));
    BOOST_TEST(!isDeclined(503, "upstream connect error"));
    BOOST_TEST(!isDeclined(404, "{}"));
    BOOST_TEST(!isDeclined(500, R"({"error":{"code":"unknown_model"}})"));
}

BOOST_AUTO_TEST_CASE(a_load_report_is_read_and_garbage_is_none)
{
    const auto load =
        detail::parseLoad(R"({"started_ms":17,"sequence":4,"running":2,"waiting":1,"batch_size":16,"slots":8,)"
                          R"("adapters":["farm/a@v1","base",7],"steps":10,"filled":20,"tokens":30})");
    BOOST_REQUIRE(load.has_value());
    BOOST_TEST(load->startedMs == 17U);
    BOOST_TEST(load->batchSize == 16U);
    BOOST_REQUIRE(load->adapters.size() == 1U);
    BOOST_TEST(load->adapters[0].toString() == "farm/a@v1");
    BOOST_TEST(!detail::parseLoad("{}").has_value());
    BOOST_TEST(!detail::parseLoad("nonsense").has_value());
}
