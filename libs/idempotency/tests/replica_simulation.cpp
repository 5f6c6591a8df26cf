#include "replica_simulation.hpp"

#include <medlarrack/core/uuid.hpp>
#include <medlarrack/idempotency/request_key.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace medlarrack::idempotency::tests {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t initialReplicas = 3;
constexpr std::size_t maxReplicas = 6;
constexpr std::uint32_t totalStepWeight = 32;
// Only the most recent keys are resent, as by callers.
constexpr std::size_t recentKeyCount = 3;

} // namespace

replica_simulation::replica_simulation(settings options, bool opaqueKeys)
    : m_options(options)
    , m_opaqueKeys(opaqueKeys)
    , m_now(1'800'000'000'000ms)
{
    for (std::size_t index = 0; index < initialReplicas; ++index) {
        startReplica();
    }
}

replica_simulation::replica &replica_simulation::replicaAt(std::uint32_t selector)
{
    return m_replicas[selector % m_replicas.size()];
}

replica_simulation::replica *replica_simulation::find(const std::string &id)
{
    const auto found = std::find_if(m_replicas.begin(), m_replicas.end(), [&id](const replica &item) {
        return item.id == id && item.alive;
    });
    return found == m_replicas.end() ? nullptr : &*found;
}

core::wall_time replica_simulation::clockOf(const replica &member) const
{
    return m_now + member.clockSkew;
}

void replica_simulation::startReplica()
{
    if (m_replicas.size() >= maxReplicas) {
        return;
    }
    replica result;
    result.id = "r" + std::to_string(m_nextId++);
    const auto half = std::chrono::milliseconds(500);
    result.clockSkew = std::chrono::milliseconds(static_cast<int>(m_nextId * 379 % 1'001)) - half;
    startProcess(result);
    m_replicas.push_back(std::move(result));
    publishList();
}

void replica_simulation::startProcess(replica &member)
{
    member.incarnation = static_cast<std::uint64_t>(m_nextKey++);
    member.alive = true;
    member.lastListRead = 0;
    member.registry =
        std::make_unique<key_registry>(m_options, core::instance_ref{member.id, member.incarnation}, clockOf(member));
}

void replica_simulation::publishList()
{
    m_now += 1ms;
    published_list result;
    result.asOf = m_now;
    for (const replica &item : m_replicas) {
        if (item.listed) {
            result.ids.push_back(item.id);
        }
    }
    m_lists.push_back(std::move(result));
}

void replica_simulation::readList(replica &member, std::size_t index)
{
    if (!member.alive) {
        return;
    }
    member.lastListRead = std::max(member.lastListRead, std::min(index, m_lists.size() - 1));
    const published_list &read = m_lists[member.lastListRead];
    perform(member, member.registry->onInstanceList(read.asOf, read.ids, clockOf(member)));
}

std::string replica_simulation::makeKey(std::uint32_t selector)
{
    const auto callerSkew = std::chrono::milliseconds(static_cast<int>(selector % 800)) - 400ms;
    std::string key = m_opaqueKeys ? "order-" + std::to_string(m_nextKey++) : core::makeUuid7(m_now + callerSkew);
    m_keys.push_back(key);
    return key;
}

void replica_simulation::submit(replica &member, const std::string &key)
{
    if (!member.alive) {
        return;
    }
    const waiter_id waiter = m_nextKey++;
    m_waiters.emplace(waiter, key);
    perform(member, member.registry->submit(key, waiter, clockOf(member)));
}

void replica_simulation::resend(std::uint32_t selector)
{
    if (m_keys.empty()) {
        return;
    }
    const std::size_t back = 1 + selector % std::min(recentKeyCount, m_keys.size());
    submit(replicaAt(selector / 7), m_keys[m_keys.size() - back]);
}

void replica_simulation::deliverMessage(std::size_t index)
{
    const wire_message message = m_messages[index];
    m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(index));
    replica *to = find(message.to);
    if (to == nullptr) {
        return;
    }
    if (message.reply) {
        // A reply uses the connection of its request, which closes when the requesting process ends.
        if (to->incarnation == message.fromIncarnation) {
            perform(*to, to->registry->onSealReply(message.from, message.key, *message.reply, clockOf(*to)));
        }
        return;
    }
    action_list actions;
    const seal reply = to->registry->onSealRequest(message.from, message.key, clockOf(*to), actions);
    m_messages.push_back({message.to, message.fromIncarnation, message.from, message.key, reply});
    perform(*to, actions);
}

void replica_simulation::loseMessage(std::size_t index)
{
    const wire_message message = m_messages[index];
    m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(index));
    const std::string &requesterId = message.reply ? message.to : message.from;
    const std::string &responderId = message.reply ? message.from : message.to;
    replica *to = find(requesterId);
    if (to != nullptr && to->incarnation == message.fromIncarnation) {
        perform(*to, to->registry->onSealFailed(responderId, message.key, clockOf(*to)));
    }
}

void replica_simulation::executeRun(std::size_t index, std::uint32_t resultSelector)
{
    const started_run run = m_startedRuns[index];
    m_startedRuns.erase(m_startedRuns.begin() + static_cast<std::ptrdiff_t>(index));
    replica *member = find(run.id);
    if (member == nullptr || member->incarnation != run.incarnation) {
        return;
    }
    run_result result;
    if (resultSelector % 8 == 0) {
        result.end = run_end::not_sent;
    } else {
        ++m_runs[run.key];
        result.end = resultSelector % 8 == 1 ? run_end::unknown : run_end::answered;
    }
    if (resultSelector % 8 == 2) {
        member->alive = false;
        return;
    }
    perform(*member, member->registry->onRunEnded(run.key, result, clockOf(*member)));
}

void replica_simulation::perform(replica &member, const action_list &actions)
{
    for (const action &item : actions) {
        if (const auto *ask = std::get_if<ask_seal>(&item)) {
            m_messages.push_back({member.id, member.incarnation, ask->memberId, ask->key, std::nullopt});
        } else if (const auto *start = std::get_if<start_run>(&item)) {
            m_startedRuns.push_back({member.id, member.incarnation, start->key});
        } else if (const auto *refused = std::get_if<send_refusal>(&item)) {
            if (refused->outcome == core::outcome::not_run) {
                m_reportedNotRun.insert(m_waiters.at(refused->waiter));
            }
        }
    }
}

void replica_simulation::step(std::uint32_t kind, std::uint32_t selector)
{
    // Relative frequency of each step; the sum is totalStepWeight.
    constexpr std::array<std::uint32_t, 10> weights = {2, 4, 1, 3, 5, 9, 4, 2, 1, 1};
    std::uint32_t remaining = kind % totalStepWeight;
    std::size_t chosen = 0;
    while (remaining >= weights[chosen]) {
        remaining -= weights[chosen++];
    }
    replica &member = replicaAt(selector);
    switch (chosen) {
    case 0:
        advanceRandomly(selector);
        break;
    case 1:
        readList(member, m_lists.size() - 1);
        break;
    case 2:
        readList(member, member.lastListRead + selector / 8 % 2);
        break;
    case 3:
        submit(member, makeKey(selector / 8));
        break;
    case 4:
        resend(selector);
        break;
    case 5:
        if (!m_messages.empty()) {
            deliverMessage(selector % m_messages.size());
        }
        break;
    case 6:
        if (!m_startedRuns.empty()) {
            executeRun(selector % m_startedRuns.size(), selector / 16);
        }
        break;
    case 7:
        loseOrTimeOut(member, selector);
        break;
    case 8:
        crashOrRestart(member, selector);
        break;
    default:
        removeFromList(member, selector);
        break;
    }
}

void replica_simulation::advanceRandomly(std::uint32_t selector)
{
    constexpr std::array<std::chrono::milliseconds, 8> waits = {10ms,    10ms,    100ms,    300ms,
                                                                2'000ms, 6'000ms, 12'000ms, 40'000ms};
    advance(waits[selector % waits.size()]);
}

void replica_simulation::loseOrTimeOut(replica &member, std::uint32_t selector)
{
    if (selector % 8 == 0 && !m_messages.empty()) {
        loseMessage(selector / 8 % m_messages.size());
    } else if (member.alive) {
        perform(member, member.registry->onTimer(clockOf(member)));
    }
}

void replica_simulation::crashOrRestart(replica &member, std::uint32_t selector)
{
    if (selector / 8 % 2 == 0) {
        member.alive = false;
    }
    if (!member.alive && member.listed) {
        startProcess(member);
    }
}

// Depending on the selector, the removed replica has stopped or keeps running, as if cut off from the platform.
void replica_simulation::removeFromList(replica &member, std::uint32_t selector)
{
    member.listed = false;
    member.alive = member.alive && selector / 8 % 2 == 0;
    publishList();
    std::erase_if(m_replicas, [](const replica &item) {
        return !item.alive && !item.listed;
    });
    startReplica();
}

void replica_simulation::settle()
{
    publishList();
    for (replica &item : m_replicas) {
        readList(item, m_lists.size() - 1);
    }
    deliverAll();
}

void replica_simulation::deliverAll()
{
    while (!m_messages.empty() || !m_startedRuns.empty()) {
        if (!m_messages.empty()) {
            deliverMessage(0);
        } else {
            executeRun(0, 3);
        }
    }
}

void replica_simulation::advance(std::chrono::milliseconds by)
{
    m_now += by;
    publishList();
}

std::string replica_simulation::submitUnbound(std::uint32_t selector)
{
    const std::string key = makeKey(400);
    submit(replicaAt(selector), key);
    return key;
}

std::string replica_simulation::submitBound(std::uint32_t selector)
{
    replica &member = replicaAt(selector);
    std::string key = makeBoundKey(clockOf(member), {member.id, member.incarnation});
    submit(member, key);
    return key;
}

void replica_simulation::crash(std::uint32_t selector)
{
    replicaAt(selector).alive = false;
}

void replica_simulation::replace(std::uint32_t selector)
{
    replica &member = replicaAt(selector);
    member.alive = false;
    member.listed = false;
    std::erase_if(m_replicas, [](const replica &item) {
        return !item.alive && !item.listed;
    });
    startReplica();
}

void replica_simulation::expireSeals()
{
    m_messages.clear();
    for (replica &item : m_replicas) {
        if (item.alive) {
            perform(item, item.registry->onTimer(clockOf(item) + m_options.sealTimeout));
        }
    }
}

std::vector<std::string> replica_simulation::violations() const
{
    std::vector<std::string> found;
    for (const auto &[key, runs] : m_runs) {
        if (runs > 1 || (runs > 0 && m_reportedNotRun.contains(key))) {
            found.push_back(key);
        }
    }
    return found;
}

std::size_t replica_simulation::totalRuns() const
{
    std::size_t total = 0;
    for (const auto &[key, runs] : m_runs) {
        total += static_cast<std::size_t>(runs);
    }
    return total;
}

int replica_simulation::runsOf(const std::string &key) const
{
    const auto found = m_runs.find(key);
    return found == m_runs.end() ? 0 : found->second;
}

} // namespace medlarrack::idempotency::tests
