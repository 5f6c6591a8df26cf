#include <medlarrack/tickets/state.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <numeric>
#include <random>

using namespace medlarrack::tickets;

namespace {

constexpr unsigned seed = 20261203;

std::shared_ptr<const adapter_state> adapterAt(const std::string &current)
{
    adapter_state value;
    value.baseModel = "base-8b";
    value.group = "assistant";
    value.current = current;
    value.versions.emplace(current, "store");
    return std::make_shared<const adapter_state>(std::move(value));
}

ticket adapterTicket(std::uint64_t number, const std::string &name, std::shared_ptr<const adapter_state> value)
{
    ticket result;
    result.number = number;
    result.adapters.emplace(name, std::move(value));
    result.text = "text " + std::to_string(number);
    return result;
}

/// Returns the current version of an adapter, or "none".
std::string versionOf(const state &tables, const std::string &name)
{
    const auto found = tables.findAdapter(name);
    return found ? found->current : "none";
}

const std::vector<std::string> adapterNames = {"a/x", "a/y", "b/x", "b/z"};

/// Generates tickets 1 to n, each of which sets or removes up to three adapters.
std::vector<ticket> randomTickets()
{
    const auto count = *rc::gen::inRange<std::uint64_t>(1, 40);
    std::vector<ticket> tickets;
    for (std::uint64_t number = 1; number <= count; ++number) {
        ticket next;
        next.number = number;
        next.text = std::to_string(number);
        const auto touched = *rc::gen::container<std::vector<int>>(3, rc::gen::inRange(0, 8));
        for (const int choice : touched) {
            const auto &name = adapterNames[static_cast<std::size_t>(choice) / 2];
            next.adapters[name] = choice % 2 == 0 ? nullptr : adapterAt("v" + std::to_string(number));
        }
        tickets.push_back(std::move(next));
    }
    return tickets;
}

std::vector<std::string> versionsOfAll(const state &tables)
{
    std::vector<std::string> versions;
    for (const auto &name : adapterNames) {
        versions.push_back(versionOf(tables, name));
    }
    return versions;
}

void check(const std::string &name, const std::function<void()> &property)
{
    rc::detail::TestParams parameters;
    parameters.seed = seed;
    BOOST_TEST_MESSAGE("rapidcheck seed " << seed);
    rc::detail::TestMetadata metadata;
    metadata.description = name;
    const auto result = rc::detail::checkTestable(property, metadata, parameters);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    BOOST_TEST(result.is<rc::detail::SuccessResult>(), text.str());
}

} // namespace

BOOST_AUTO_TEST_CASE(any_order_with_duplicates_ends_in_the_same_state)
{
    check("order", [] {
        const auto tickets = randomTickets();
        state inOrder;
        for (const auto &next : tickets) {
            inOrder.apply(next);
        }
        state shuffled;
        const auto order = *rc::gen::container<std::vector<std::size_t>>(
            3 * tickets.size(), rc::gen::inRange<std::size_t>(0, tickets.size()));
        for (const std::size_t index : order) {
            shuffled.apply(tickets[index]);
        }
        for (auto next = tickets.rbegin(); next != tickets.rend(); ++next) {
            shuffled.apply(*next);
        }
        RC_ASSERT(versionsOfAll(shuffled) == versionsOfAll(inOrder));
        RC_ASSERT(shuffled.contiguous() == tickets.size());
        RC_ASSERT(shuffled.adapterCount() == inOrder.adapterCount());
        RC_ASSERT(shuffled.textsAfter(0, 1U << 20U).texts == inOrder.textsAfter(0, 1U << 20U).texts);
    });
}

BOOST_AUTO_TEST_CASE(no_object_ever_goes_back_to_an_older_ticket)
{
    check("monotonic", [] {
        const auto tickets = randomTickets();
        const auto order = *rc::gen::container<std::vector<std::size_t>>(
            tickets.size(), rc::gen::inRange<std::size_t>(0, tickets.size()));
        state tables;
        std::vector<std::uint64_t> newest(adapterNames.size(), 0);
        std::vector<std::string> expected(adapterNames.size(), "none");
        for (const std::size_t index : order) {
            const auto &next = tickets[index];
            tables.apply(next);
            for (std::size_t name = 0; name < adapterNames.size(); ++name) {
                const auto change = next.adapters.find(adapterNames[name]);
                if (change != next.adapters.end() && next.number > newest[name]) {
                    newest[name] = next.number;
                    expected[name] = change->second ? change->second->current : "none";
                }
            }
            RC_ASSERT(versionsOfAll(tables) == expected);
        }
    });
}

BOOST_AUTO_TEST_CASE(live_texts_alone_rebuild_the_state)
{
    check("live texts", [] {
        const auto tickets = randomTickets();
        state tables;
        for (const auto &next : tickets) {
            tables.apply(next);
        }
        state copy;
        for (const auto &text : tables.textsAfter(0, 1U << 20U).texts) {
            copy.apply(tickets[std::stoul(text) - 1]);
        }
        copy.markSeen(0, tables.contiguous());
        RC_ASSERT(versionsOfAll(copy) == versionsOfAll(tables));
        RC_ASSERT(copy.contiguous() == tables.contiguous());
        for (const auto &late : tickets) {
            copy.apply(late);
        }
        RC_ASSERT(versionsOfAll(copy) == versionsOfAll(tables));
    });
}

BOOST_AUTO_TEST_CASE(a_removed_adapter_stays_removed_when_a_late_older_ticket_comes)
{
    state tables;
    BOOST_TEST(tables.apply(adapterTicket(3, "a/x", nullptr)));
    BOOST_TEST(tables.apply(adapterTicket(2, "a/x", adapterAt("v2"))));
    BOOST_TEST(versionOf(tables, "a/x") == "none");
    BOOST_TEST(tables.adapterCount() == 0U);
    BOOST_TEST(tables.apply(adapterTicket(4, "a/x", adapterAt("v4"))));
    BOOST_TEST(versionOf(tables, "a/x") == "v4");
}

BOOST_AUTO_TEST_CASE(gaps_hold_the_contiguous_number_back_until_filled_or_marked_as_seen)
{
    state tables;
    tables.apply(adapterTicket(1, "a/x", adapterAt("v1")));
    tables.apply(adapterTicket(4, "a/x", adapterAt("v4")));
    BOOST_TEST(tables.contiguous() == 1U);
    BOOST_TEST(tables.newest() == 4U);
    tables.apply(adapterTicket(2, "a/x", adapterAt("v2")));
    BOOST_TEST(tables.contiguous() == 2U);
    tables.markSeen(2, 3);
    BOOST_TEST(tables.contiguous() == 4U);
    BOOST_TEST(!tables.apply(adapterTicket(3, "a/x", adapterAt("v3"))));
}

BOOST_AUTO_TEST_CASE(texts_come_in_pieces_of_at_least_one)
{
    state tables;
    for (std::uint64_t number = 1; number <= 5; ++number) {
        tables.apply(adapterTicket(number, "a/x" + std::to_string(number), adapterAt("v1")));
    }
    BOOST_TEST(tables.textsAfter(0, 1).texts.size() == 1U);
    BOOST_TEST(!tables.textsAfter(0, 1).complete);
    BOOST_TEST(tables.textsAfter(0, 13).texts.size() == 2U);
    BOOST_TEST(tables.textsAfter(3, 1000).texts.size() == 2U);
    BOOST_TEST(tables.textsAfter(3, 1000).complete);
    BOOST_TEST(tables.textsAfter(5, 1000).texts.empty());
}

BOOST_AUTO_TEST_CASE(a_state_without_texts_holds_the_same_objects)
{
    state tables(ticket_texts::drop);
    tables.apply(adapterTicket(2, "a/x", adapterAt("v2")));
    tables.apply(adapterTicket(1, "a/x", adapterAt("v1")));
    BOOST_TEST(versionOf(tables, "a/x") == "v2");
    BOOST_TEST(tables.contiguous() == 2U);
    BOOST_TEST(tables.textsAfter(0, 1000).texts.empty());
    BOOST_TEST(tables.textsAfter(0, 1000).contiguous == 2U);
}

BOOST_AUTO_TEST_CASE(a_bearer_key_names_its_operator_also_when_names_hold_dots)
{
    state tables;
    ticket value;
    value.number = 1;
    auto plain = std::make_shared<operator_state>();
    plain->keys = {{"s1", hashKey("s1", "farm.old")}, {"s2", hashKey("s2", "farm.new.part")}};
    auto dotted = std::make_shared<operator_state>();
    dotted->keys = {{"s3", hashKey("s3", "farm.new.other")}};
    value.operators.emplace("farm", plain);
    value.operators.emplace("farm.new", dotted);
    tables.apply(value);
    BOOST_TEST((tables.authenticate("farm.old") == "farm"));
    BOOST_TEST((tables.authenticate("farm.new.part") == "farm"));
    BOOST_TEST((tables.authenticate("farm.new.other") == "farm.new"));
    for (const char *wrong : {"", ".", "farm", "farm.", "farm.bad", "dairy.old", "farm.new"}) {
        BOOST_TEST(!tables.authenticate(wrong), wrong);
    }
}

BOOST_AUTO_TEST_CASE(adapters_are_listed_by_operator_in_order)
{
    state tables;
    tables.apply(adapterTicket(1, "b/x", adapterAt("v1")));
    tables.apply(adapterTicket(2, "a/y", adapterAt("v1")));
    tables.apply(adapterTicket(3, "a/x", adapterAt("v1")));
    tables.apply(adapterTicket(4, "a/z", nullptr));
    BOOST_TEST((tables.adaptersOf("a") == std::vector<std::string>{"a/x", "a/y"}));
    BOOST_TEST(tables.adaptersOf("c").empty());
    BOOST_TEST(tables.adapterCount() == 3U);
}
