#include "adapter_slots.hpp"
#include "batch_model.hpp"
#include "load_history.hpp"
#include "prefix_cache.hpp"

#include <boost/test/unit_test.hpp>

#include <set>
#include <string>

using namespace medlarrack;
using namespace medlarrack::standins;
using namespace std::chrono_literals;

namespace {

constexpr core::monotonic_time start{1h};

/// Notes what it is given.
class recording_sink final : public token_sink
{
public:
    void token(const generation &, int index, std::string_view given) override
    {
        text += given;
        last = index;
    }
    void finished(const generation &) override
    {
        ended = true;
    }
    void broken() override
    {
        brokenOff = true;
    }

    std::string text;
    int last = -1;
    bool ended = false;
    bool brokenOff = false;
};

std::shared_ptr<generation> work(const std::string &id, int tokens, int priority = 0)
{
    auto made = std::make_shared<generation>();
    made->id = id;
    made->model = "base-8b";
    made->prompt = "prompt of " + id;
    made->maxTokens = tokens;
    made->priority = priority;
    return made;
}

std::string wholeText(const generation &from)
{
    std::string text;
    for (int index = 0; index < from.maxTokens; ++index) {
        text += tokenText(answerSeed(from.model, from.prompt), index);
    }
    return text;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_batch_is_filled_by_priority_then_arrival)
{
    batch_model batch(2);
    const auto first = work("first", 2);
    const auto second = work("second", 2);
    const auto urgent = work("urgent", 1, -1);
    BOOST_TEST(batch.add(first));
    BOOST_TEST(batch.add(second));
    BOOST_TEST(batch.add(urgent));
    BOOST_TEST(!batch.add(work("urgent", 1)));
    BOOST_TEST(batch.waiting() == 1U);
    batch.step(start);
    BOOST_TEST(urgent->done());
    BOOST_TEST(first->produced == 1);
    BOOST_TEST(second->produced == 0);
    batch.step(start);
    batch.step(start);
    BOOST_TEST(batch.idle());
    BOOST_TEST(batch.counters().steps == 3);
    BOOST_TEST(batch.counters().filled == 5);
}

BOOST_AUTO_TEST_CASE(a_resumed_stream_neither_repeats_nor_skips)
{
    batch_model batch(4);
    const auto whole = work("a", 6);
    const auto original = std::make_shared<recording_sink>();
    whole->subscribers.push_back({original, 0});
    batch.add(whole);
    batch.step(start);
    batch.step(start);
    const auto resumed = std::make_shared<recording_sink>();
    batch_model::attach(*batch.find("a"), resumed, 1);
    // Tokens that don't exist yet are waited for.
    const auto ahead = std::make_shared<recording_sink>();
    batch_model::attach(*batch.find("a"), ahead, 4);
    for (int i = 0; i < 4; ++i) {
        batch.step(start);
    }
    BOOST_TEST(ahead->text.size() == original->text.size() / 6 * 2);
    BOOST_TEST(original->text == wholeText(*whole));
    BOOST_TEST(original->text.ends_with(resumed->text));
    BOOST_TEST(resumed->text.size() == original->text.size() / 6 * 5);
    BOOST_TEST(resumed->ended);
    // Kept for a while after its end.
    const auto late = std::make_shared<recording_sink>();
    batch_model::attach(*batch.find("a"), late, 5);
    BOOST_TEST(late->last == 5);
    BOOST_TEST(late->ended);
    batch.step(start + 31s);
    BOOST_TEST(!batch.find("a"));
}

BOOST_AUTO_TEST_CASE(a_removed_stream_breaks_off_and_can_go_on_elsewhere)
{
    batch_model here(1);
    batch_model there(1);
    const auto moved = work("a", 3);
    const auto sink = std::make_shared<recording_sink>();
    moved->subscribers.push_back({sink, 0});
    here.add(moved);
    here.step(start);
    BOOST_TEST(here.uses("base-8b"));
    BOOST_TEST(here.remove("a") == moved);
    BOOST_TEST(!here.uses("base-8b"));
    BOOST_TEST(sink->brokenOff);
    const auto rest = std::make_shared<recording_sink>();
    there.add(moved);
    batch_model::attach(*moved, rest, 1);
    there.step(start);
    there.step(start);
    BOOST_TEST(sink->text + rest->text == wholeText(*moved));
}

BOOST_AUTO_TEST_CASE(slots_run_out_and_an_adapter_in_use_stays)
{
    adapter_slots slots(1);
    std::string code = "none";
    const auto note = [&](const order_result &result) {
        code = result.code;
    };
    BOOST_TEST(slots.beginLoad("a@1", note));
    BOOST_TEST(!slots.loaded("a@1"));
    BOOST_TEST(!slots.beginLoad("b@1", note));
    BOOST_TEST(code == "no_slot");
    slots.finishLoad("a@1", {});
    BOOST_TEST(code.empty());
    BOOST_TEST(slots.loaded("a@1"));
    BOOST_TEST(slots.unload("a@1", true).code == "in_use");
    BOOST_TEST(slots.unload("a@1", false).code.empty());
    BOOST_TEST(slots.beginLoad("b@1", note));
    slots.finishLoad("b@1", {502, "load_failed"});
    BOOST_TEST(code == "load_failed");
    BOOST_TEST(slots.names().empty());
}

BOOST_AUTO_TEST_CASE(old_fencing_numbers_are_refused_only_when_checked)
{
    fence_check checks(true);
    fence_check ignores(false);
    BOOST_TEST(checks.admit(7));
    BOOST_TEST(checks.admit(7));
    BOOST_TEST(!checks.admit(6));
    BOOST_TEST(ignores.admit(7));
    BOOST_TEST(ignores.admit(6));
}

BOOST_AUTO_TEST_CASE(cache_events_are_late_and_have_gaps)
{
    prefix_cache cache(3);
    const std::string block(prefix_cache::blockBytes, 'x');
    BOOST_TEST(cache.admit("m", block + block + "rest", start) == 2U);
    BOOST_TEST(cache.admit("m", block + block, start + 1s) == 0U);
    BOOST_TEST(cache.admit("other", block + block, start + 2s) == 2U);
    // The oldest block made room.
    BOOST_TEST(cache.events(0, 0ms, start + 2s).size() == 5U);
    BOOST_TEST(cache.events(0, 1s, start + 2s).size() == 2U);
    BOOST_TEST(cache.newest(1s, start + 2s) == 2);
    BOOST_TEST(!cache.events(4, 0ms, start + 2s).front().stored);
    cache.setDropEvery(2);
    cache.admit("third", block, start + 2s);
    std::set<long long> sequences;
    for (const auto &event : cache.events(5, 0ms, start + 2s)) {
        sequences.insert(event.sequence);
    }
    BOOST_TEST((sequences == std::set<long long>{7}));
}

BOOST_AUTO_TEST_CASE(load_reports_lag)
{
    load_history history;
    BOOST_TEST(history.show(0ms, start).empty());
    history.add("old", start);
    history.add("new", start + 1s);
    BOOST_TEST(history.show(0ms, start + 1s) == "new");
    BOOST_TEST(history.show(500ms, start + 1s) == "old");
    BOOST_TEST(history.show(1h, start + 1s) == "old");
}
