#pragma once

#include <medlarrack/quota/tenant_limiter.hpp>
#include <medlarrack/quota/usage_ledger.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <random>
#include <string>
#include <vector>

namespace medlarrack::quota::testing {

using std::chrono::milliseconds;

/// Gateways with limiters and agents with ledgers, joined by messages that take some time. One tenant, whose callers
/// are spread unevenly. Time passes in steps; nothing here reads a clock.
class fleet
{
public:
    static constexpr milliseconds stepTime{5};
    static constexpr milliseconds reportCheckInterval{100};
    static constexpr double windowSeconds = 8;

    struct gateway
    {
        std::unique_ptr<tenant_limiter> limiter = std::make_unique<tenant_limiter>();
        std::string name;
        double weight = 1;
        bool running = true;
        bool frozen = false;
        bool cutOff = false;
        std::uint64_t starts = 0;
    };
    struct agent
    {
        usage_ledger ledger;
        bool reachable = true;
    };

    fleet(std::size_t gatewayCount, core::bucket_limits quota, unsigned seed)
        : limits(quota)
        , m_random(seed)
    {
        agents.resize(3);
        for (std::size_t index = 0; index < gatewayCount; ++index) {
            gateway made;
            made.name = "g" + std::to_string(index);
            // A few gateways get most of the callers.
            made.weight = 1.0 / static_cast<double>(1 + index % 7);
            gateways.push_back(std::move(made));
        }
    }

    /// Lets time pass while callers ask for units at a rate.
    void run(milliseconds time, double askedPerSecond)
    {
        for (milliseconds passed{0}; passed < time; passed += stepTime) {
            now += stepTime;
            deliver();
            report();
            m_toAsk += askedPerSecond * std::chrono::duration<double>(stepTime).count();
            while (m_toAsk > 0) {
                m_toAsk -= ask();
            }
            check();
        }
    }

    /// Gateways notice that an agent is gone by their connections to it.
    void loseAgent(std::size_t index)
    {
        agents.at(index).reachable = false;
        for (gateway &one : gateways) {
            one.limiter->forgetAgent("a" + std::to_string(index));
        }
    }

    void restartAgent(std::size_t index)
    {
        loseAgent(index);
        agents.at(index) = {};
    }

    /// The largest number of units that ran in a window.
    [[nodiscard]] double mostInWindow() const
    {
        return m_mostInWindow;
    }

    void resetCounts()
    {
        admitted = 0;
        refused = 0;
        refusedByCost.clear();
        askedByCost.clear();
    }

    core::bucket_limits limits;
    std::uint64_t stateVersion = 1;
    core::monotonic_time now{std::chrono::hours(1)};
    std::vector<gateway> gateways;
    std::vector<agent> agents;
    /// The gateway that all requests reach; any by its weight if it isn't set.
    std::optional<std::size_t> onlyGateway;
    double admitted = 0;
    std::size_t refused = 0;
    std::map<double, std::size_t> refusedByCost;
    std::map<double, std::size_t> askedByCost;

private:
    static constexpr std::string_view tenant = "t";

    double ask()
    {
        // Mostly short prompts, some plain calls and a few long prompts.
        static constexpr std::array<double, 10> costs{716, 716, 716, 716, 716, 716, 716, 200, 200, 9'240};
        const double cost = costs.at(m_random() % costs.size());
        gateway *at = choose();
        if (at == nullptr) {
            return cost;
        }
        ++askedByCost[cost];
        if (at->limiter->admit(tenant, limits, cost, now)) {
            admitted += cost;
            m_inWindow += cost;
            m_runs.emplace_back(now, cost);
        } else {
            ++refused;
            ++refusedByCost[cost];
        }
        return cost;
    }

    gateway *choose()
    {
        if (onlyGateway) {
            return &gateways.at(*onlyGateway);
        }
        std::vector<double> weights;
        for (const gateway &one : gateways) {
            weights.push_back(one.running && !one.frozen ? one.weight : 0);
        }
        if (std::accumulate(weights.begin(), weights.end(), 0.0) == 0) {
            return nullptr;
        }
        return &gateways.at(std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(m_random));
    }

    void report()
    {
        if (now < m_nextReportAt) {
            return;
        }
        m_nextReportAt = now + reportCheckInterval;
        for (std::size_t index = 0; index < gateways.size(); ++index) {
            gateway &from = gateways[index];
            std::size_t told = 0;
            for (std::size_t to = 0; to < agents.size() && told < 2; ++to) {
                if (!from.running || from.frozen || from.cutOff || !agents[to].reachable) {
                    continue;
                }
                ++told;
                const auto reports = from.limiter->takeReports(
                    "a" + std::to_string(to),
                    [](std::string_view) {
                        return true;
                    },
                    now);
                for (const core::tenant_report &one : reports) {
                    sendReport(index, to, one);
                }
            }
        }
    }

    void sendReport(std::size_t from, std::size_t to, const core::tenant_report &report)
    {
        const std::uint64_t starts = gateways[from].starts;
        later([this, from, to, report, starts] {
            if (!agents[to].reachable) {
                return;
            }
            const core::tenant_total total = agents[to].ledger.record(gateways[from].name, report, stateVersion, now);
            later([this, from, to, total, starts] {
                gateway &back = gateways[from];
                if (back.running && !back.cutOff && back.starts == starts) {
                    back.limiter->recordTotal("a" + std::to_string(to), total);
                }
            });
        });
    }

    void later(std::function<void()> action)
    {
        m_messages.emplace(now + milliseconds(2 + static_cast<int>(m_random() % 40)), std::move(action));
    }

    void deliver()
    {
        while (!m_messages.empty() && m_messages.begin()->first <= now) {
            const auto action = std::move(m_messages.begin()->second);
            m_messages.erase(m_messages.begin());
            action();
        }
    }

    void check()
    {
        while (!m_runs.empty() && now - m_runs.front().first > std::chrono::duration<double>(windowSeconds)) {
            m_inWindow -= m_runs.front().second;
            m_runs.pop_front();
        }
        m_mostInWindow = std::max(m_mostInWindow, m_inWindow);
    }

    std::minstd_rand m_random;
    std::multimap<core::monotonic_time, std::function<void()>> m_messages;
    core::monotonic_time m_nextReportAt{};
    double m_toAsk = 0;
    std::deque<std::pair<core::monotonic_time, double>> m_runs;
    double m_inWindow = 0;
    double m_mostInWindow = 0;
};

} // namespace medlarrack::quota::testing
