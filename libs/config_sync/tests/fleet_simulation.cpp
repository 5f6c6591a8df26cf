#include "fleet_simulation.hpp"

#include <medlarrack/core/hash.hpp>

#include <algorithm>
#include <utility>

namespace medlarrack::config_sync::tests {

namespace {

using namespace std::chrono_literals;

constexpr auto stepTime = 10ms;
constexpr auto peerTimeout = 500ms;
/// Longer than the service's, so that a stale copy is read before peers answer.
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
    std::vector<std::string> given;
    for (std::uint64_t number = after + 1; number <= newestAt(dataCentre); ++number) {
        if (!skipped.contains(number)) {
            given.push_back(m_published[number - 1]);
        }
    }
    if (shuffles) {
        std::reverse(given.begin(), given.end());
        const auto once = given;
        given.insert(given.end(), once.begin(), once.end());
    }
    std::string body = R"({"newest": )" + std::to_string(newestAt(dataCentre)) + R"(, "more": false, "tickets": [)";
    for (std::size_t index = 0; index < given.size(); ++index) {
        body += (index > 0 ? ", " : "") + given[index];
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

planner_world::planner_world(planner_settings settings)
    : m_settings(settings)
{
}

member &planner_world::add(const std::string &id, const std::string &dataCentre, instances::instance_kind kind)
{
    if (kind == instances::instance_kind::sidecar) {
        listOnly(id, dataCentre);
    }
    return addUnlisted(id, dataCentre, kind);
}

member &planner_world::addUnlisted(const std::string &id, const std::string &dataCentre, instances::instance_kind kind)
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

void planner_world::addDataCentre(const std::string &dataCentre, std::size_t sidecars)
{
    for (std::size_t index = 0; index < sidecars; ++index) {
        add(dataCentre + "-" + std::to_string(index), dataCentre);
    }
}

void planner_world::listOnly(const std::string &id, const std::string &dataCentre)
{
    instances::instance listed;
    listed.id = id;
    listed.dataCentre = dataCentre;
    listed.address = "127.0.0.1";
    listed.port = 1;
    m_list.instances.push_back(std::move(listed));
}

void planner_world::start(const std::string &id)
{
    auto &process = *m_members.at(id);
    process.state = std::make_unique<tickets::state>();
    process.planner = std::make_unique<update_planner>(m_settings, process.self, true, core::hash64(id, seed), m_now);
}

void planner_world::run(std::chrono::milliseconds time)
{
    const auto end = m_now + time;
    while (m_now < end) {
        step();
    }
}

bool planner_world::runUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit)
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

void planner_world::step()
{
    m_now += stepTime;
    while (!m_events.empty() && m_events.begin()->first <= m_now) {
        const auto event = m_events.extract(m_events.begin());
        event.mapped()();
    }
    for (auto &[id, process] : m_members) {
        if (!process->paused) {
            answerWatch(*process);
            drive(*process);
            check(*process);
        }
    }
}

void planner_world::drive(member &process)
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

void planner_world::run(member &process, const read_changes &call)
{
    ++service.changesCalls;
    if (!service.up || !process.seesService || service.throttles) {
        const auto result = service.up && process.seesService ? call_result::throttled : call_result::failed;
        later(0ms, [this, &process, result] {
            process.planner->onChanges(result, process.position(), m_now);
        });
        return;
    }
    process.watch = {call.after, m_now + call.wait};
}

void planner_world::answerWatch(member &process)
{
    if (!process.watch) {
        return;
    }
    const auto [after, until] = *process.watch;
    if (!service.up || !process.seesService) {
        process.watch.reset();
        process.planner->onChanges(call_result::failed, process.position(), m_now);
    } else if (service.newestAt(process.self.dataCentre) > after || m_now >= until) {
        process.watch.reset();
        giveChanges(process, after);
    }
}

void planner_world::giveChanges(member &process, std::uint64_t after)
{
    core::reason why;
    const auto body = service.changes(process.self.dataCentre, after);
    const auto outcome = detail::applyChanges(*process.state, after, body, why);
    process.planner->onChanges(outcome ? call_result::answered : call_result::failed, process.position(), m_now);
}

void planner_world::run(member &process, const read_instances & /*call*/)
{
    ++service.instancesCalls;
    const bool answers = service.up && process.seesService && !service.throttles;
    later(0ms, [this, &process, answers] {
        process.planner->onInstances(answers ? call_result::answered : call_result::failed, answers ? &m_list : nullptr,
                                     m_now);
    });
}

void planner_world::run(member &process, const ask_peer &question)
{
    ++peerQuestions;
    const auto found = m_members.find(question.peer.id);
    const bool reached = found != m_members.end() && !found->second->paused && found->second->side == process.side;
    if (!reached) {
        later(peerTimeout, [this, &process, id = question.peer.id] {
            process.planner->onPeer(id, peer_result::failed, process.position(), m_now);
        });
        return;
    }
    auto &asked = *found->second;
    const auto reply = detail::makeReply(*asked.state, asked.planner->ready(asked.position(), m_now), {question.after});
    later(peerLatency, [this, &process, question, reply] {
        const auto outcome = detail::applyReply(*process.state, question.after, reply);
        const bool unsure = outcome.more && reply.tickets.empty();
        const auto result = unsure ? peer_result::unsure : outcome.more ? peer_result::part : peer_result::whole;
        process.planner->onPeer(question.peer.id, result, process.position(), m_now);
    });
}

void planner_world::later(std::chrono::milliseconds wait, std::function<void()> event)
{
    m_events.emplace(m_now + wait, std::move(event));
}

void planner_world::check(member &process) const
{
    process.reverted |= process.slots() < process.largestSlots;
    process.largestSlots = std::max(process.largestSlots, process.slots());
}

bool planner_world::allReady()
{
    return std::all_of(m_members.begin(), m_members.end(), [this](const auto &entry) {
        return entry.second->paused || entry.second->planner->ready(entry.second->position(), m_now);
    });
}

bool planner_world::allHave(std::uint64_t number) const
{
    return std::all_of(m_members.begin(), m_members.end(), [number](const auto &entry) {
        return entry.second->paused || entry.second->state->contiguous() >= number;
    });
}

bool planner_world::anyReverted() const
{
    return std::any_of(m_members.begin(), m_members.end(), [](const auto &entry) {
        return entry.second->reverted;
    });
}

std::vector<member *> planner_world::members()
{
    std::vector<member *> all;
    for (auto &[id, process] : m_members) {
        all.push_back(process.get());
    }
    return all;
}

} // namespace medlarrack::config_sync::tests
