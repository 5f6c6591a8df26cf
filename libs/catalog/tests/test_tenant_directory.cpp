#include <medlarrack/catalog/route_table.hpp>
#include <medlarrack/catalog/tenant_directory.hpp>

#include <boost/test/unit_test.hpp>

namespace medlarrack::catalog {

namespace {

tenant makeTenant(std::string name, std::initializer_list<std::string_view> keys)
{
    tenant made;
    made.name = std::move(name);
    for (const std::string_view key : keys) {
        made.keyDigests.push_back(core::sha256(key));
    }
    return made;
}

published_state makeState(std::uint64_t version, std::vector<tenant> tenants)
{
    published_state state;
    state.version = version;
    state.tenants = std::move(tenants);
    return state;
}

} // namespace

BOOST_AUTO_TEST_SUITE(tenant_directory_tests)

// Guards against requests that run as another tenant than the one whose key they carry.
BOOST_AUTO_TEST_CASE(each_key_belongs_to_the_tenant_that_lists_it)
{
    const tenant_directory directory({makeTenant("a", {"key-1", "key-2"}), makeTenant("b", {"key-3", "key-1"})});
    BOOST_TEST(directory.find(core::sha256("key-1"))->name == "a");
    BOOST_TEST(directory.find(core::sha256("key-2"))->name == "a");
    BOOST_TEST(directory.find(core::sha256("key-3"))->name == "b");
    BOOST_TEST((directory.find(core::sha256("key-")) == nullptr));
    BOOST_TEST((directory.find(core::sha256("")) == nullptr));
}

// Guards against keys that are accepted after the operator has taken them away.
BOOST_AUTO_TEST_CASE(a_newer_state_replaces_all_keys_and_an_older_one_none)
{
    route_table table;
    BOOST_TEST(!table.tenants().isEnabled());
    BOOST_TEST(table.update(makeState(5, {makeTenant("a", {"old", "kept"})})));
    BOOST_TEST(table.update(makeState(8, {makeTenant("a", {"kept", "new"})})));
    BOOST_TEST((table.tenants().find(core::sha256("old")) == nullptr));
    BOOST_TEST((table.tenants().find(core::sha256("kept")) != nullptr));
    BOOST_TEST(!table.update(makeState(7, {makeTenant("a", {"old"})})));
    BOOST_TEST((table.tenants().find(core::sha256("old")) == nullptr));
    BOOST_TEST((table.tenants().find(core::sha256("new")) != nullptr));
    BOOST_TEST(table.update(makeState(9, {})));
    BOOST_TEST(!table.tenants().isEnabled());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace medlarrack::catalog
