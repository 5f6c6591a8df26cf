#include <medlarrack/core/uuid.hpp>
#include <medlarrack/idempotency/request_key.hpp>

#include <boost/test/unit_test.hpp>

using namespace medlarrack;
using namespace medlarrack::idempotency;

namespace {

const core::wall_time createdAt(std::chrono::milliseconds(1'764'800'000'000));

} // namespace

BOOST_AUTO_TEST_SUITE(request_keys, *boost::unit_test::label("idempotency"))

BOOST_AUTO_TEST_CASE(a_bound_key_names_its_instance_with_and_without_an_operator)
{
    const core::instance_ref boundInstance{"pivot.1", 42};
    const std::string text = makeBoundKey(createdAt, boundInstance);
    for (const std::string &form : {text, scopedKey("slavonska", text)}) {
        const auto key = parseKey(form);
        BOOST_TEST_REQUIRE((key && key->boundInstance));
        BOOST_TEST((*key->boundInstance == boundInstance));
        BOOST_TEST((key->createdAt == createdAt));
        BOOST_TEST(key->text == form);
    }
}

BOOST_AUTO_TEST_CASE(other_keys_are_unbound_and_only_a_uuid_of_version_7_has_a_creation_time)
{
    const auto parsed = parseKey(core::makeUuid7(createdAt));
    BOOST_TEST_REQUIRE(parsed.has_value());
    BOOST_TEST((parsed->createdAt == createdAt));
    BOOST_TEST(!parsed->boundInstance);
    const auto opaque = parseKey("order-7~a.1");
    BOOST_TEST_REQUIRE(opaque.has_value());
    BOOST_TEST(!opaque->createdAt);
    BOOST_TEST(!opaque->boundInstance);
}

BOOST_AUTO_TEST_CASE(malformed_keys_are_rejected)
{
    BOOST_TEST(!parseKey(""));
    BOOST_TEST(!parseKey("slavonska|"));
    BOOST_TEST(!parseKey("order 7"));
    BOOST_TEST(!parseKey(std::string(maxKeyBytes + 1, 'x')));
    BOOST_TEST(!parseKey(core::makeUuid7(createdAt) + "~pivot-1"));
    BOOST_TEST(!parseKey(core::makeUuid7(createdAt) + "~pivot-1.x"));
}

BOOST_AUTO_TEST_SUITE_END()
