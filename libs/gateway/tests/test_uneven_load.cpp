// Load scenario: a plain service whose replicas are away or slow in part, and gateways that see them by old reports.

#include "fleet_fixture.hpp"

#include <medlarrack/gateway/retry_after.hpp>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <ostream>
#include <queue>

using namespace medlarrack;
using namespace medlarrack::gateway;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

/// The services of two users.
struct plain_load
{
    std::string name;
    int replicas = 0;
    milliseconds work{0};
    double perSecond = 0;
    milliseconds target{0};
    milliseconds deadline{0};
};

const plain_load shortWork{"15 ms of work", 4, milliseconds(15), 314, milliseconds(120), milliseconds(600)};
const plain_load longWork{"60 ms of work", 5, milliseconds(60), 220, milliseconds(300), milliseconds(4'000)};

constexpr std::uint32_t slots = 6;
constexpr milliseconds healthyUntil{3'000};
constexpr milliseconds faultyUntil{8'000};
constexpr milliseconds simulatedTime{11'000};
constexpr milliseconds reportInterval{200};

enum class fault {
    none,
    two_away,
    two_slow,
};

/// How gateways learn the load of replicas.
enum class reporting {
    /// All of them from the same reports, 200 ms apart.
    common,
    /// Each from the answers to its own requests.
    by_answers,
};

/// The choice before expected times were learned per replica: the first one with the shortest time by its load.
replica_ptr chooseByLoad(const replica_table &table, std::span<const std::string> tried, core::monotonic_time now)
{
    replica_ptr best;
    double bestTime = 0;
    for (const replica_ptr &one : table.findByService("plain")) {
        if (std::ranges::find(tried, one->record.id) != tried.end() || !one->health.mayServe(one->outstanding, now)) {
            continue;
        }
        const double latency = one->health.latency().count() == 0 ? 60e6 : double(one->health.latency().count());
        const std::uint32_t load = now - one->loadReportedAt <= milliseconds(300) ? one->load() : one->outstanding;
        const double time =
            latency * (load >= slots ? 1.0 + double(load - slots + 1) / slots : 1.0 + 0.3 * load / slots)
            + (one->local ? 0 : 60e6);
        if (best == nullptr || time < bestTime) {
            best = one;
            bestTime = time;
        }
    }
    return best;
}

struct outcome_counts
{
    int requests = 0;
    int inTime = 0;
    int inDeadline = 0;
    int refused = 0;
    /// Sent to another data centre.
    int remote = 0;

    [[nodiscard]] double shareInTime() const
    {
        return double(inTime) / requests;
    }
};

class simulation
{
public:
    simulation(const plain_load &load, int gateways, fault kind, reporting reports, bool byLoad, unsigned seed)
        : m_load(load)
        , m_fault(kind)
        , m_reports(reports)
        , m_byLoad(byLoad)
        , m_random(seed)
        , m_servers(static_cast<std::size_t>(load.replicas))
    {
        for (int index = 0; index < gateways; ++index) {
            auto added = std::make_unique<one_gateway>("dc" + std::to_string(index % 3 + 1), seed + unsigned(index));
            for (int number = 0; number < load.replicas; ++number) {
                catalog::replica_record record;
                record.id = std::to_string(number);
                record.service = "plain";
                record.port = static_cast<std::uint16_t>(number + 1);
                record.dataCentre = "dc" + std::to_string(number % 3 + 1);
                record.slots = slots;
                record.sequence = 1;
                record.startedAtMs = 1;
                added->table.update(record, m_now);
            }
            // Callers are assigned by a hash, so that gateways' shares differ.
            m_shares.push_back(1 + index % 4);
            m_gateways.push_back(std::move(added));
        }
    }

    outcome_counts run()
    {
        scheduleArrival();
        if (m_reports == reporting::common) {
            report();
        }
        while (!m_events.empty() && m_events.top().at < start() + simulatedTime + m_load.deadline) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.at;
            next.run();
        }
        return m_counts;
    }

private:
    struct one_gateway
    {
        one_gateway(const std::string &dataCentre, unsigned seed)
            : table(dataCentre)
            , random(seed)
        {
        }

        replica_table table;
        std::minstd_rand random;
    };

    struct request
    {
        one_gateway *at = nullptr;
        core::monotonic_time startedAt{};
        bool isCounted = false;
        bool isCallerRetry = false;
        std::vector<std::string> tried;
    };

    using request_ptr = std::shared_ptr<request>;

    struct server
    {
        std::uint32_t running = 0;
        std::deque<std::function<void()>> queue;
    };

    struct event
    {
        core::monotonic_time at{};
        std::uint64_t order = 0;
        std::function<void()> run;

        bool operator<(const event &other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    static core::monotonic_time start()
    {
        return core::monotonic_time(std::chrono::seconds(100));
    }

    void schedule(std::chrono::nanoseconds delay, std::function<void()> run)
    {
        m_events.push({m_now + delay, ++m_order, std::move(run)});
    }

    [[nodiscard]] bool isFaulty(std::size_t index) const
    {
        return index < 2 && m_now >= start() + healthyUntil && m_now < start() + faultyUntil;
    }

    [[nodiscard]] std::uint32_t percent(std::size_t index) const
    {
        return m_fault == fault::two_slow && isFaulty(index) ? 400 : 100;
    }

    void scheduleArrival()
    {
        const double wait = std::exponential_distribution<double>(m_load.perSecond)(m_random);
        schedule(std::chrono::nanoseconds(std::llround(wait * 1e9)), [this] {
            if (m_now >= start() + simulatedTime) {
                return;
            }
            std::discrete_distribution<std::size_t> share(m_shares.begin(), m_shares.end());
            const auto added = std::make_shared<request>();
            added->at = m_gateways[share(m_random)].get();
            added->startedAt = m_now;
            added->isCounted = m_now >= start() + healthyUntil;
            m_counts.requests += added->isCounted ? 1 : 0;
            dispatch(added);
            scheduleArrival();
        });
    }

    void report()
    {
        for (const auto &one : m_gateways) {
            for (std::size_t index = 0; index < m_servers.size(); ++index) {
                const replica_ptr known = one->table.find(std::to_string(index));
                known->setReportedLoad(m_servers[index].running + m_servers[index].queue.size(), m_now);
                known->speed.recordPercent(percent(index), m_now);
            }
        }
        if (m_now < start() + simulatedTime) {
            schedule(reportInterval, [this] {
                report();
            });
        }
    }

    void dispatch(const request_ptr &sent)
    {
        const auto left = m_load.deadline - (m_now - sent->startedAt);
        one_gateway &from = *sent->at;
        replica_choice choice;
        if (m_byLoad) {
            choice.target = chooseByLoad(from.table, sent->tried, m_now);
        } else {
            choice_query query;
            query.service = "plain";
            query.tried = sent->tried;
            query.timeLeft = left;
            query.isCallerRetry = sent->isCallerRetry;
            choice = choosePlain(from.table, query, m_now, from.random);
        }
        if (choice.target == nullptr) {
            const auto cause = choice.saturated ? refusal_cause::replicas_busy : refusal_cause::no_replica;
            const milliseconds wait =
                retryAfter(cause, from.table, "plain", m_now, static_cast<std::uint32_t>(from.random()));
            m_counts.refused += sent->isCounted ? 1 : 0;
            if (!std::exchange(sent->isCallerRetry, true) && wait < left) {
                sent->tried.clear();
                schedule(wait, [this, sent] {
                    dispatch(sent);
                });
            }
            return;
        }
        const replica_ptr target = choice.target;
        const std::size_t index = std::stoul(target->record.id);
        sent->tried.push_back(target->record.id);
        ++target->outstanding;
        m_counts.remote += sent->isCounted && !target->local ? 1 : 0;
        if (m_fault == fault::two_away && isFaulty(index)) {
            schedule(milliseconds(1), [this, sent, target] {
                --target->outstanding;
                target->recordFailure(true, m_now);
                dispatch(sent);
            });
            return;
        }
        server &at = m_servers[index];
        const core::monotonic_time sentAt = m_now;
        const auto begin = [this, sent, target, index, sentAt] {
            ++m_servers[index].running;
            schedule(m_load.work * percent(index) / 100, [this, sent, target, index, sentAt] {
                server &done = m_servers[index];
                --done.running;
                if (!done.queue.empty()) {
                    const auto next = std::move(done.queue.front());
                    done.queue.pop_front();
                    next();
                }
                onAnswer(sent, target, index, sentAt);
            });
        };
        if (at.running < slots) {
            begin();
        } else {
            at.queue.emplace_back(begin);
        }
    }

    void onAnswer(const request_ptr &sent, const replica_ptr &target, std::size_t index, core::monotonic_time sentAt)
    {
        const server &at = m_servers[index];
        const auto waiting = static_cast<std::uint32_t>(at.queue.size());
        if (m_reports == reporting::by_answers) {
            target->setReportedLoad(at.running + waiting, m_now);
            target->speed.recordPercent(percent(index), m_now);
        }
        target->recordSuccess(m_now - sentAt, waiting, m_now);
        --target->outstanding;
        const auto time = m_now - sent->startedAt;
        m_counts.inTime += sent->isCounted && time <= m_load.target ? 1 : 0;
        m_counts.inDeadline += sent->isCounted && time <= m_load.deadline ? 1 : 0;
    }

    const plain_load &m_load;
    fault m_fault;
    reporting m_reports;
    bool m_byLoad;
    std::mt19937 m_random;
    std::vector<server> m_servers;
    std::vector<std::unique_ptr<one_gateway>> m_gateways;
    std::vector<int> m_shares;
    std::priority_queue<event> m_events;
    std::uint64_t m_order = 0;
    core::monotonic_time m_now = start();
    outcome_counts m_counts;
};

struct scenario
{
    const plain_load *load;
    fault kind;
    reporting reports;
    int gateways;
};

std::ostream &operator<<(std::ostream &out, const scenario &of)
{
    const char *kind = of.kind == fault::none ? "healthy" : of.kind == fault::two_away ? "two away" : "two slow";
    return out << of.load->name << ", " << kind << ", "
               << (of.reports == reporting::common ? "common reports" : "by answers") << ", " << of.gateways
               << " gateways";
}

std::vector<scenario> scenarios()
{
    std::vector<scenario> all;
    for (const plain_load *load : {&shortWork, &longWork}) {
        for (const fault kind : {fault::none, fault::two_away, fault::two_slow}) {
            for (const reporting reports : {reporting::common, reporting::by_answers}) {
                for (const int gateways : {2, 24, 68}) {
                    all.push_back({load, kind, reports, gateways});
                }
            }
        }
    }
    return all;
}

} // namespace

BOOST_AUTO_TEST_SUITE(uneven_load)

// Guards against gateways that send all requests to the same replica because of the same old reports, and against
// requests that queue at slow replicas.
BOOST_DATA_TEST_CASE(requests_are_answered_in_time_with_two_replicas_away_or_slow, scenarios(), one)
{
    outcome_counts before;
    outcome_counts now;
    for (const unsigned seed : {1U, 2U, 3U}) {
        const auto add = [&](outcome_counts &to, bool byLoad) {
            const outcome_counts run = simulation(*one.load, one.gateways, one.kind, one.reports, byLoad, seed).run();
            to.requests += run.requests;
            to.inTime += run.inTime;
            to.inDeadline += run.inDeadline;
            to.refused += run.refused;
            to.remote += run.remote;
        };
        add(before, true);
        add(now, false);
    }
    BOOST_TEST_MESSAGE(one << ", seeds 1 to 3: in time " << before.shareInTime() << " before, " << now.shareInTime()
                           << " now; refused " << now.refused << ", in the deadline " << before.inDeadline << " and "
                           << now.inDeadline << " of " << now.requests << "; to other data centres " << before.remote
                           << " and " << now.remote);
    BOOST_TEST(now.inTime >= before.inTime);
    BOOST_TEST(now.shareInTime() >= 0.99);
    BOOST_TEST(now.refused == 0);
    if (one.kind == fault::none) {
        // Traffic between data centres is expensive.
        BOOST_TEST(now.remote <= before.remote + now.requests / 50);
    }
}

BOOST_AUTO_TEST_SUITE_END()
