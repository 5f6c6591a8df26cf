#include "fleet_simulation.hpp"

#include <medlarrack/core/hash.hpp>

#include <algorithm>
#include <utility>

namespace medlarrack::config_sync::tests {

namespace {

using namespace std::chrono_literals;

constexpr auto stepTime = 10ms;
constexpr auto peerTimeout = 500ms;
/// Longer than the latency of the service, so that a stale copy is read before peers answer.
constexpr auto peerLatency = 30ms;
constexpr std::uint64_t seed = 20261203;

} // namespace

std::uint64_t fake_service::publish()
{
    const auto number = std::to_string(m_published.size() + 1);
    m_published.push_back(R"({"ticket": )" + number + R"(, "groups": {"g": {"slots": )" + number + "}}}");
    return m_published.size();
}

std::uint64_t fake_service::newestAt(const std::string &dataCentre) const
{
    const auto stale = staleAt.find(dataCentre);
    return stale != staleAt.end() ? std::min<std::uint64_t>(stale->second, m_published.size()) : m_published.size();
}

std::string fake_service::changes(const std::string &dataCentre, std::uint64_t after) const
{
    std::vector<std::string> selected;
    for (std::uint64_t number = after + 1; number <= newestAt(dataCentre); ++number) {
        if (!skipped.contains(number)) {
            selected.push_back(m_published[number - 1]);
        }
    }
    if (shuffles) {
        std::reverse(selected.begin(), selected.end());
        const auto once = selected;
        selected.insert(selected.end(), once.begin(), once.end());
    }
    std::string body = R"({"newest": )" + std::to_string(newestAt(dataCentre)) + R"(, "more": false, "tickets": [)";
    for (std::size_t index = 0; index < selected.size(); ++index) {
        body += (index > 0 ? ", " : "") + selected[index];
    }
    return body + "]}";
}

std::uint32_t member::slots() const
{
    const auto group = state->findGroup("g");
    return group ? group->slots : 0;
}

ticket_position member::position() const
{
    return {state->contiguous(), state->newest()};
}

fleet_simulation::fleet_simulation(planner_settings settings)
    : m_settings(settings)
{
}

member &fleet_simulation::add(const std::string &id, const std::string &dataCentre, instances::instance_kind kind)
{
    if (kind == instances::instance_kind::sidecar) {
        listOnly(id, dataCentre);
    }
    return addUnlisted(id, dataCentre, kind);
}

member &fleet_simulation::addUnlisted(const std::string &id, const std::string &dataCentre,
                                      instances::instance_kind kind)
{
    auto process = std::make_unique<member>();
    process->self.id = id;
    process->self.kind = kind;
    process->self.dataCentre = dataCentre;
    auto &result = *process;
    m_members[id] = std::move(process);
    start(id);
    return result;
}

void fleet_simulation::addDataCentre(const std::string &dataCentre, std::size_t sidecars)
{
    for (std::size_t index = 0; index < sidecars; ++index) {
        add(dataCentre + "-" + std::to_string(index), dataCentre);
    }
}

void fleet_simulation::listOnly(const std::string &id, const std::string &dataCentre)
{
    instances::instance listed;
    listed.id = id;
    listed.dataCentre = dataCentre;
    listed.address = "127.0.0.1";
    listed.port = 1;
    m_list.instances.push_back(std::move(listed));
}

void fleet_simulation::start(const std::string &id)
{
    auto &process = *m_members.at(id);
    process.state = std::make_unique<tickets::state>();
    process.planner = std::make_unique<update_planner>(m_settings, process.self, true, core::hash64(id, seed), m_now);
}

void fleet_simulation::run(std::chrono::milliseconds time)
{
    const auto end = m_now + time;
    while (m_now < end) {
        step();
    }
}

bool fleet_simulation::runUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit)
{
    const auto end = m_now + limit;
    while (!condition()) {
        if (m_now >= end) {
            return false;
        }
        step();
    }
    return true;
}

void fleet_simulation::step()
{
    m_now += stepTime;
    while (!m_events.empty() && m_events.begin()->first <= m_now) {
        const auto event = m_events.extract(m_events.begin());
        event.mapped()();
    }
    for (auto &[id, process] : m_members) {
        if (!process->paused) {
            answerWatch(*process);
            runPlanner(*process);
            check(*process);
        }
    }
}

void fleet_simulation::runPlanner(member &process)
{
    if (process.planner->due() > m_now) {
        return;
    }
    for (const auto &action : process.planner->next(process.position(), m_now)) {
        std::visit(
            [&](const auto &call) {
                run(process, call);
            },
            action);
    }
}

void fleet_simulation::run(member &process, const read_changes &call)
{
    ++service.changesCalls;
    if (!service.up || !process.serviceReachable || service.throttles) {
        const auto result = service.up && process.serviceReachable ? call_result::throttled : call_result::failed;
        schedule(0ms, [this, &process, result] {
            process.planner->onChanges(result, process.position(), m_now);
        });
        return;
    }
    process.watch = {call.after, m_now + call.wait};
}

void fleet_simulation::answerWatch(member &process)
{
    if (!process.watch) {
        return;
    }
    const auto [after, until] = *process.watch;
    if (!service.up || !process.serviceReachable) {
        process.watch.reset();
        process.planner->onChanges(call_result::failed, process.position(), m_now);
    } else if (service.newestAt(process.self.dataCentre) > after || m_now >= until) {
        process.watch.reset();
        applyServiceChanges(process, after);
    }
}

void fleet_simulation::applyServiceChanges(member &process, std::uint64_t after)
{
    core::reason why;
    const auto body = service.changes(process.self.dataCentre, after);
    const auto outcome = detail::applyChanges(*process.state, after, body, why);
    process.planner->onChanges(outcome ? call_result::answered : call_result::failed, process.position(), m_now);
}

void fleet_simulation::run(member &process, const read_instances & /*call*/)
{
    ++service.instancesCalls;
    const bool answers = service.up && process.serviceReachable && !service.throttles;
    schedule(0ms, [this, &process, answers] {
        process.planner->onInstances(answers ? call_result::answered : call_result::failed, answers ? &m_list : nullptr,
                                     m_now);
    });
}

void fleet_simulation::run(member &process, const query_peer &query)
{
    ++peerQueries;
    const auto found = m_members.find(query.peer.id);
    const bool reached =
        found != m_members.end() && !found->second->paused && found->second->partition == process.partition;
    if (!reached) {
        schedule(peerTimeout, [this, &process, id = query.peer.id] {
            process.planner->onPeer(id, peer_result::failed, process.position(), m_now);
        });
        return;
    }
    auto &queried = *found->second;
    const auto reply =
        detail::makeReply(*queried.state, queried.planner->ready(queried.position(), m_now), {query.after});
    schedule(peerLatency, [this, &process, query, reply] {
        const auto outcome = detail::applyReply(*process.state, query.after, reply);
        const bool notReady = outcome.more && reply.tickets.empty();
        const auto result = notReady ? peer_result::not_ready
            : outcome.more           ? peer_result::partial
                                     : peer_result::complete;
        process.planner->onPeer(query.peer.id, result, process.position(), m_now);
    });
}

void fleet_simulation::schedule(std::chrono::milliseconds wait, std::function<void()> event)
{
    m_events.emplace(m_now + wait, std::move(event));
}

void fleet_simulation::check(member &process) const
{
    process.reverted |= process.slots() < process.largestSlots;
    process.largestSlots = std::max(process.largestSlots, process.slots());
}

bool fleet_simulation::allReady()
{
    return std::all_of(m_members.begin(), m_members.end(), [this](const auto &entry) {
        return entry.second->paused || entry.second->planner->ready(entry.second->position(), m_now);
    });
}

bool fleet_simulation::allHave(std::uint64_t number) const
{
    return std::all_of(m_members.begin(), m_members.end(), [number](const auto &entry) {
        return entry.second->paused || entry.second->state->contiguous() >= number;
    });
}

bool fleet_simulation::anyReverted() const
{
    return std::any_of(m_members.begin(), m_members.end(), [](const auto &entry) {
        return entry.second->reverted;
    });
}

std::vector<member *> fleet_simulation::members()
{
    std::vector<member *> all;
    for (auto &[id, process] : m_members) {
        all.push_back(process.get());
    }
    return all;
}

} // namespace medlarrack::config_sync::tests
