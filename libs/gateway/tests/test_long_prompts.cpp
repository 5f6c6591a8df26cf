#include "fleet_fixture.hpp"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <ostream>
#include <random>

using namespace medlarrack;
using namespace medlarrack::gateway;
using std::chrono::milliseconds;

namespace {

constexpr double tokensPerMs = 30.6;
constexpr std::size_t engineCount = 40;
constexpr std::uint32_t batchSize = 64;
constexpr std::uint32_t firstSeed = 20261207;

/// First-event times in ms of one kind of request.
struct first_events
{
    std::vector<double> ms;

    first_events &operator+=(const first_events &other)
    {
        ms.insert(ms.end(), other.ms.begin(), other.ms.end());
        return *this;
    }

    [[nodiscard]] double within(double limit) const
    {
        return static_cast<double>(std::count_if(ms.begin(), ms.end(),
                                                 [limit](double each) {
                                                     return each <= limit;
                                                 }))
            / static_cast<double>(ms.size());
    }

    [[nodiscard]] double quantile(double part) const
    {
        std::vector<double> sorted = ms;
        std::sort(sorted.begin(), sorted.end());
        return sorted[static_cast<std::size_t>(part * static_cast<double>(sorted.size() - 1))];
    }

    [[nodiscard]] double mean() const
    {
        double sum = 0;
        for (const double each : ms) {
            sum += each;
        }
        return sum / static_cast<double>(ms.size());
    }
};

struct prompt_results
{
    first_events shortOnes;
    first_events longOnes;
    /// The largest tenth of the long prompts, and the fifth below it.
    first_events largest;
    first_events large;
    std::size_t adapterLoads = 0;

    friend std::ostream &operator<<(std::ostream &out, const prompt_results &of)
    {
        return out << "short: mean " << of.shortOnes.mean() << " ms, 99% " << of.shortOnes.quantile(0.99)
                   << " ms, over 500 ms " << 1 - of.shortOnes.within(500) << "; long: mean " << of.longOnes.mean()
                   << " ms, within 2 s " << of.longOnes.within(2'000) << ", largest " << of.largest.within(2'000)
                   << ", large " << of.large.within(2'000);
    }

    prompt_results &operator+=(const prompt_results &other)
    {
        shortOnes += other.shortOnes;
        longOnes += other.longOnes;
        largest += other.largest;
        large += other.large;
        adapterLoads += other.adapterLoads;
        return *this;
    }
};

/// How engines are compared: 650 pending tokens count as one request, or as in chooseEngine().
enum class cost {
    former,
    by_size,
};

/// 40 engines that prefill the prompts in their queue one after the other, in pieces, and then send 14 events; and
/// gateways that learn of each other's requests from reports that are 200 ms old on average.
class prompt_simulation
{
public:
    prompt_simulation(int gateways, double longPerSecond, cost by, std::uint32_t seed)
        : m_longPerSecond(longPerSecond)
        , m_cost(by)
        , m_engines(engineCount)
        , m_random(seed)
    {
        for (int index = 0; index < gateways; ++index) {
            auto &added = m_gateways.emplace_back();
            added.fleet.table = replica_table("dc" + std::to_string(index % 3 + 1));
            added.fleet.addEngines(static_cast<int>(engineCount));
            for (std::size_t engine = 0; engine < engineCount; ++engine) {
                const replica_ptr known = added.fleet.table.find("e" + std::to_string(engine));
                known->record.slots = batchSize;
                added.engines.push_back(known);
            }
        }
        for (int index = 0; index < gateways; ++index) {
            m_gatewayWeights.push_back(1 + index % 4);
        }
        placeAdapters();
    }

    void run(milliseconds time)
    {
        std::discrete_distribution<std::size_t> gatewayOf(m_gatewayWeights.begin(), m_gatewayWeights.end());
        std::poisson_distribution<int> shortArrivals(530 * tickSeconds);
        std::poisson_distribution<int> longArrivals(m_longPerSecond * tickSeconds);
        std::lognormal_distribution<double> longTokens(std::log(6'600), 0.9);
        std::uniform_int_distribution<std::uint32_t> shortTokens(400, 892);
        for (milliseconds end{0}; end < time; end += tick) {
            m_clock.advance(tick);
            advanceEngines();
            report();
            for (int left = shortArrivals(m_random); left > 0; --left) {
                send(gatewayOf(m_random), shortTokens(m_random), false);
            }
            for (int left = longArrivals(m_random); left > 0; --left) {
                send(gatewayOf(m_random),
                     static_cast<std::uint32_t>(std::clamp(longTokens(m_random), 1'500.0, 39'600.0)), true);
            }
        }
    }

    prompt_results results;

private:
    static constexpr milliseconds tick{5};
    static constexpr double tickSeconds = 0.005;
    static constexpr int reportTicks = 40;
    static constexpr int reportDelayTicks = 20;

    struct prompt
    {
        double left = 0;
        std::uint32_t tokens = 0;
        double tokensAhead = 0;
        std::size_t gateway = 0;
        bool isLong = false;
        core::monotonic_time sentAt{};
    };

    struct engine_model
    {
        std::deque<prompt> queue;
        /// Ends of the requests that generate, and their gateways.
        std::deque<std::pair<core::monotonic_time, std::size_t>> generating;
        /// Of the last report: all requests, and the pending tokens that each gateway didn't send itself.
        std::uint32_t reportedLoad = 0;
        std::vector<std::uint64_t> reportedOthers;
    };

    struct gateway_model
    {
        gateway::testing::fleet_fixture fleet;
        std::vector<replica_ptr> engines;
        prompt_sizes sizes;
    };

    /// Half of the requests name one of 300 adapters, of which a few have several holders.
    void placeAdapters()
    {
        for (int rank = 1; rank <= 300; ++rank) {
            const std::string name = "m/a" + std::to_string(rank);
            const int holders = std::max(1, 40 / rank);
            for (int holder = 0; holder < holders; ++holder) {
                const std::size_t at =
                    (static_cast<std::size_t>(rank) * 7 + static_cast<std::size_t>(holder) * 11) % engineCount;
                for (gateway_model &each : m_gateways) {
                    each.engines[at]->agent->adapters[name] = 1;
                }
            }
        }
    }

    replica_ptr choose(gateway_model &at, const std::string &adapter, std::uint32_t tokens)
    {
        if (m_cost == cost::former) {
            replica_ptr best;
            double bestCost = 0;
            for (const replica_ptr &each : at.engines) {
                if (!adapter.empty() && !each->agent->adapters.contains(adapter)) {
                    continue;
                }
                const double cost = each->load() + static_cast<double>(each->totalPendingPrefillTokens()) / 650
                    + (each->local ? 0 : 10);
                if (best == nullptr || cost < bestCost) {
                    best = each;
                    bestCost = cost;
                }
            }
            return best;
        }
        choice_query query{.service = "llm", .model = "m", .adapter = adapter, .batchSize = batchSize};
        query.promptTokens = tokens;
        query.salt = m_salts();
        query.sizes = &at.sizes;
        const replica_choice chosen = chooseEngine(at.fleet.table, query, m_clock.now());
        results.adapterLoads += chosen.needsLoad || chosen.alsoLoadAt != nullptr ? 1 : 0;
        return chosen.target;
    }

    void send(std::size_t from, std::uint32_t tokens, bool isLong)
    {
        gateway_model &sender = m_gateways[from];
        sender.sizes.record(tokens, m_clock.now());
        std::string adapter;
        if (m_random() % 2 == 0) {
            const double draw = std::uniform_real_distribution<double>(0, 1)(m_random);
            adapter = "m/a" + std::to_string(static_cast<int>(std::pow(300, draw)));
        }
        const replica_ptr target = choose(sender, adapter, tokens);
        BOOST_REQUIRE(target != nullptr);
        ++target->outstanding;
        target->addPendingPrefillTokens(tokens, m_clock.now());
        const auto index = static_cast<std::size_t>(std::stoi(target->record.id.substr(1)));
        const double ahead = target->prefill.remainingTokens(target->totalPendingPrefillTokens(), m_clock.now());
        m_engines[index].queue.push_back({static_cast<double>(tokens), tokens, ahead, from, isLong, m_clock.now()});
    }

    void advanceEngines()
    {
        for (std::size_t index = 0; index < engineCount; ++index) {
            engine_model &engine = m_engines[index];
            double budget = tokensPerMs * static_cast<double>(tick.count());
            while (!engine.queue.empty() && budget > 0) {
                prompt &first = engine.queue.front();
                const double read = std::min(budget, first.left);
                first.left -= read;
                budget -= read;
                if (first.left <= 0) {
                    finishPrefill(index, first);
                    engine.queue.pop_front();
                }
            }
            while (!engine.generating.empty() && engine.generating.front().first <= m_clock.now()) {
                --m_gateways[engine.generating.front().second].engines[index]->outstanding;
                engine.generating.pop_front();
            }
        }
    }

    void finishPrefill(std::size_t index, const prompt &done)
    {
        const replica_ptr known = m_gateways[done.gateway].engines[index];
        const auto time = m_clock.now() - done.sentAt;
        known->subtractPendingPrefillTokens(done.tokens, m_clock.now());
        known->prefill.recordFirstEvent(done.tokensAhead, time);
        constexpr milliseconds generationTime{14 * 8};
        m_engines[index].generating.emplace_back(m_clock.now() + generationTime, done.gateway);
        const double ms = std::chrono::duration<double, std::milli>(time).count();
        if (!done.isLong) {
            results.shortOnes.ms.push_back(ms);
            return;
        }
        results.longOnes.ms.push_back(ms);
        constexpr std::uint32_t largestTokens = 20'900;
        constexpr std::uint32_t largeTokens = 10'600;
        if (done.tokens >= largestTokens) {
            results.largest.ms.push_back(ms);
        } else if (done.tokens >= largeTokens) {
            results.large.ms.push_back(ms);
        }
    }

    /// Each engine's agent reports every 200 ms what was so 100 ms before.
    void report()
    {
        ++m_tickCount;
        for (std::size_t index = 0; index < engineCount; ++index) {
            engine_model &engine = m_engines[index];
            const auto phase = (m_tickCount + index * 7) % reportTicks;
            if (phase == 0) {
                engine.reportedLoad = static_cast<std::uint32_t>(engine.queue.size() + engine.generating.size());
                std::uint64_t total = 0;
                for (const prompt &each : engine.queue) {
                    total += each.tokens;
                }
                engine.reportedOthers.clear();
                for (const gateway_model &each : m_gateways) {
                    engine.reportedOthers.push_back(total - each.engines[index]->pendingPrefillTokens);
                }
            } else if (phase == reportDelayTicks && !engine.reportedOthers.empty()) {
                for (std::size_t gateway = 0; gateway < m_gateways.size(); ++gateway) {
                    replica &known = *m_gateways[gateway].engines[index];
                    known.setReportedLoad(engine.reportedLoad, m_clock.now());
                    known.agent->othersPendingPrefillTokens = engine.reportedOthers[gateway];
                    known.prefill.recordPending(known.totalPendingPrefillTokens(), m_clock.now());
                }
            }
        }
    }

    double m_longPerSecond;
    cost m_cost;
    core::manual_clock m_clock;
    std::deque<gateway_model> m_gateways;
    std::vector<double> m_gatewayWeights;
    std::vector<engine_model> m_engines;
    std::size_t m_tickCount = 0;
    std::mt19937 m_random;
    /// Apart from the other random numbers, so that each choice meets the same load.
    std::mt19937_64 m_salts{1};
};

} // namespace

BOOST_AUTO_TEST_SUITE(long_prompts)

// Guards against short prompts that wait for long ones while other engines could prefill them, and against long prompts
// that are starved for it. Load: 12.5 long prompts of up to 39,600 tokens among 530 short ones a second on 40 engines.
// Half of them name an adapter, which mostly one engine holds, so that part of the short ones is late in any case.
BOOST_DATA_TEST_CASE(fewer_short_prompts_are_late_behind_long_ones_than_by_counting_tokens_as_requests,
                     boost::unit_test::data::make({2, 24, 68}), gateways)
{
    prompt_results former;
    prompt_results now;
    // Two gateways have few late prompts: chance alone moves their share by a tenth in one run.
    const std::uint32_t runs = gateways > 2 ? 1 : 20;
    for (std::uint32_t run = 0; run < runs; ++run) {
        constexpr milliseconds time{60'000};
        prompt_simulation before(gateways, 12.5, cost::former, firstSeed + run);
        before.run(time);
        former += before.results;
        prompt_simulation after(gateways, 12.5, cost::by_size, firstSeed + run);
        after.run(time);
        now += after.results;
    }
    BOOST_TEST_MESSAGE(gateways << " gateways, before: " << former << "; now: " << now);
    // Two gateways know nearly all that the engines have to prefill; there is nothing to gain.
    const double lateBefore = 1 - former.shortOnes.within(500);
    BOOST_TEST(1 - now.shortOnes.within(500) < lateBefore * (gateways > 2 ? 0.8 : 1.1));
    BOOST_TEST(now.shortOnes.mean() < former.shortOnes.mean() * (gateways > 2 ? 0.95 : 1.1));
    BOOST_TEST(now.longOnes.mean() < former.longOnes.mean() * 1.05);
    BOOST_TEST(now.longOnes.within(2'000) > 0.99);
    BOOST_TEST(now.largest.within(2'000) > 0.9);
    BOOST_TEST(now.large.within(2'000) > 0.9);
    BOOST_TEST(now.adapterLoads == 0U);
}

// Guards against the largest prompts being starved when there are many long ones: 38 a second fill two thirds of the
// engines' prefill rate together with the short ones.
BOOST_AUTO_TEST_CASE(the_largest_prompts_are_served_at_least_half_as_often_as_all_when_long_ones_are_many)
{
    prompt_simulation simulation(24, 38, cost::by_size, firstSeed);
    simulation.run(milliseconds(30'000));
    const prompt_results &now = simulation.results;
    BOOST_TEST_MESSAGE(now);
    BOOST_TEST(now.largest.within(2'000) > now.longOnes.within(2'000) / 2);
    BOOST_TEST(now.large.within(2'000) > now.longOnes.within(2'000) / 2);
    BOOST_TEST(now.largest.within(2'000) > now.shortOnes.within(500) / 2);
    BOOST_TEST(now.adapterLoads == 0U);
}

// Guards against a threshold that fits one deployment: what is long depends on the other prompts.
BOOST_AUTO_TEST_CASE(what_counts_as_long_follows_the_prompts_seen)
{
    core::manual_clock clock;
    prompt_sizes sizes;
    const auto see = [&](int count, std::uint32_t usual, std::uint32_t large) {
        for (int request = 0; request < count; ++request) {
            clock.advance(milliseconds(20));
            sizes.record(request % 40 == 0 ? large : usual, clock.now());
        }
    };
    see(40, 646, 9'190);
    BOOST_TEST(!sizes.isLong(9'190));
    BOOST_TEST(sizes.longShare() == 0);
    see(2'000, 646, 9'190);
    BOOST_TEST(sizes.isLong(9'190));
    BOOST_TEST(!sizes.isLong(646));
    BOOST_TEST(sizes.longShare() == 0.267, boost::test_tools::tolerance(0.05));
    see(10'000, 9'190, 9'190);
    BOOST_TEST(!sizes.isLong(9'190));
    BOOST_TEST(sizes.longShare() < 0.02);
    // Prompts without a token count change nothing.
    prompt_sizes uncounted;
    for (int request = 0; request < 500; ++request) {
        clock.advance(milliseconds(20));
        uncounted.record(0, clock.now());
    }
    BOOST_TEST((!uncounted.isLong(40'000) && uncounted.longShare() == 0));
}

struct size_fixture : gateway::testing::fleet_fixture
{
    size_fixture()
    {
        for (int request = 0; request < 2'000; ++request) {
            clock.advance(milliseconds(20));
            sizes.record(request % 40 == 0 ? 9'190 : 646, clock.now());
        }
    }

    replica_choice chooseFor(std::uint32_t tokens, const std::string &adapter = {})
    {
        choice_query query{.service = "llm", .model = "m", .adapter = adapter, .batchSize = batchSize};
        query.promptTokens = tokens;
        query.sizes = &sizes;
        return chooseEngine(table, query, clock.now());
    }

    prompt_sizes sizes;
};

// Guards against processes that disagree on the engines for long prompts, against long prompts that queue up there, and
// against short ones that are kept out of them although all others are busier.
BOOST_FIXTURE_TEST_CASE(long_prompts_share_a_few_engines_until_those_are_busy, size_fixture)
{
    addEngines(18);
    const replica_ptr preferred = chooseFor(9'190).target;
    BOOST_TEST(preferred->local);
    BOOST_TEST(chooseFor(646).target != preferred);
    size_fixture other;
    other.addEngines(18);
    BOOST_TEST(other.chooseFor(20'000).target->record.id == preferred->record.id);
    // Two of the six local engines are preferred, as long prompts are 27% of the tokens.
    preferred->agent->othersPendingPrefillTokens = 2'000;
    const replica_ptr second = chooseFor(9'190).target;
    BOOST_TEST(second != preferred);
    second->agent->othersPendingPrefillTokens = 3'000;
    BOOST_TEST(chooseFor(9'190).target == preferred);
    BOOST_TEST((chooseFor(646).target != preferred && chooseFor(646).target != second));
    preferred->agent->othersPendingPrefillTokens = 20'000;
    second->agent->othersPendingPrefillTokens = 20'000;
    BOOST_TEST((chooseFor(9'190).target != preferred && chooseFor(9'190).target != second));
    preferred->agent->othersPendingPrefillTokens = 0;
    for (const auto &[id, one] : table.all()) {
        one->outstanding = one == preferred ? 0 : 8;
    }
    BOOST_TEST(chooseFor(646).target == preferred);
}

// Guards against loads of adapters from the store for the sake of a prompt's size, and against a cold adapter loaded
// where it has to wait for a long prompt.
BOOST_FIXTURE_TEST_CASE(
    a_loaded_adapter_is_used_whatever_the_size_and_a_cold_one_passes_over_an_engine_busy_with_prompts, size_fixture)
{
    addEngines(18);
    const replica_ptr home = chooseFor(646, "m/a1").target;
    home->agent->othersPendingPrefillTokens = 9'190;
    BOOST_TEST(chooseFor(646, "m/a1").target == home);
    home->agent->othersPendingPrefillTokens = 39'600;
    const replica_ptr next = chooseFor(646, "m/a1").target;
    BOOST_TEST(next != home);
    home->agent->adapters["m/a1"] = 1;
    for (const std::uint32_t tokens : {646U, 39'600U}) {
        BOOST_TEST(chooseFor(tokens, "m/a1").target == home);
        BOOST_TEST(!chooseFor(tokens, "m/a1").needsLoad);
        BOOST_TEST(chooseFor(tokens, "m/a1").alsoLoadAt == nullptr);
    }
}

BOOST_AUTO_TEST_SUITE_END()
