#include "replica_simulation.hpp"

#include <medlarrack/core/uuid.hpp>
#include <medlarrack/idempotency/request_key.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace medlarrack::idempotency::tests {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t startReplicas = 3;
constexpr std::size_t mostReplicas = 6;
constexpr std::uint32_t stepKinds = 32;
// Resends go mostly to keys of late, as callers' do.
constexpr std::size_t recentKeys = 3;

} // namespace

replica_simulation::replica_simulation(settings options, bool opaqueKeys)
    : m_options(options)
    , m_opaqueKeys(opaqueKeys)
    , m_now(1'800'000'000'000ms)
{
    for (std::size_t index = 0; index < startReplicas; ++index) {
        startReplica();
    }
}

replica_simulation::replica &replica_simulation::choose(std::uint32_t choice)
{
    return m_replicas[choice % m_replicas.size()];
}

replica_simulation::replica *replica_simulation::find(const std::string &id)
{
    const auto found = std::find_if(m_replicas.begin(), m_replicas.end(), [&id](const replica &one) {
        return one.id == id && one.alive;
    });
    return found == m_replicas.end() ? nullptr : &*found;
}

core::wall_time replica_simulation::clockOf(const replica &at) const
{
    return m_now + at.skew;
}

void replica_simulation::startReplica()
{
    if (m_replicas.size() >= mostReplicas) {
        return;
    }
    replica made;
    made.id = "r" + std::to_string(m_nextId++);
    const auto half = std::chrono::milliseconds(500);
    made.skew = std::chrono::milliseconds(static_cast<int>(m_nextId * 379 % 1'001)) - half;
    restart(made);
    m_replicas.push_back(std::move(made));
    publishList();
}

void replica_simulation::restart(replica &at)
{
    at.incarnation = static_cast<std::uint64_t>(m_nextKey++);
    at.alive = true;
    at.listRead = 0;
    at.registry = std::make_unique<key_registry>(m_options, core::instance_ref{at.id, at.incarnation}, clockOf(at));
}

void replica_simulation::publishList()
{
    m_now += 1ms;
    list made;
    made.asOf = m_now;
    for (const replica &one : m_replicas) {
        if (one.listed) {
            made.ids.push_back(one.id);
        }
    }
    m_lists.push_back(std::move(made));
}

void replica_simulation::readList(replica &at, std::size_t index)
{
    if (!at.alive) {
        return;
    }
    at.listRead = std::max(at.listRead, std::min(index, m_lists.size() - 1));
    const list &read = m_lists[at.listRead];
    take(at, at.registry->onInstanceList(read.asOf, read.ids, clockOf(at)));
}

std::string replica_simulation::makeKey(std::uint32_t choice)
{
    const auto callerSkew = std::chrono::milliseconds(static_cast<int>(choice % 800)) - 400ms;
    std::string key = m_opaqueKeys ? "order-" + std::to_string(m_nextKey++) : core::makeUuid7(m_now + callerSkew);
    m_keys.push_back(key);
    return key;
}

void replica_simulation::submit(replica &at, const std::string &key)
{
    if (!at.alive) {
        return;
    }
    const waiter_id waiter = m_nextKey++;
    m_waiters.emplace(waiter, key);
    take(at, at.registry->submit(key, waiter, clockOf(at)));
}

void replica_simulation::resend(std::uint32_t choice)
{
    if (m_keys.empty()) {
        return;
    }
    const std::size_t back = 1 + choice % std::min(recentKeys, m_keys.size());
    submit(choose(choice / 7), m_keys[m_keys.size() - back]);
}

void replica_simulation::deliver(std::size_t index)
{
    const wire_message message = m_messages[index];
    m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(index));
    replica *to = find(message.to);
    if (to == nullptr) {
        return;
    }
    if (message.reply) {
        // A reply travels on its request's connection, which ends with the asking process.
        if (to->incarnation == message.fromIncarnation) {
            take(*to, to->registry->onSealReply(message.from, message.key, *message.reply, clockOf(*to)));
        }
        return;
    }
    action_list actions;
    const seal reply = to->registry->onSealRequest(message.from, message.key, clockOf(*to), actions);
    m_messages.push_back({message.to, message.fromIncarnation, message.from, message.key, reply});
    take(*to, actions);
}

void replica_simulation::lose(std::size_t index)
{
    const wire_message message = m_messages[index];
    m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(index));
    const std::string &asker = message.reply ? message.to : message.from;
    const std::string &member = message.reply ? message.from : message.to;
    replica *to = find(asker);
    if (to != nullptr && to->incarnation == message.fromIncarnation) {
        take(*to, to->registry->onSealFailed(member, message.key, clockOf(*to)));
    }
}

void replica_simulation::execute(std::size_t index, std::uint32_t fate)
{
    const started_run run = m_started[index];
    m_started.erase(m_started.begin() + static_cast<std::ptrdiff_t>(index));
    replica *at = find(run.id);
    if (at == nullptr || at->incarnation != run.incarnation) {
        return;
    }
    run_result result;
    if (fate % 8 == 0) {
        result.end = run_end::not_sent;
    } else {
        ++m_runs[run.key];
        result.end = fate % 8 == 1 ? run_end::unknown : run_end::answered;
    }
    if (fate % 8 == 2) {
        at->alive = false;
        return;
    }
    take(*at, at->registry->onRunEnded(run.key, result, clockOf(*at)));
}

void replica_simulation::take(replica &at, const action_list &actions)
{
    for (const action &one : actions) {
        if (const auto *ask = std::get_if<ask_seal>(&one)) {
            m_messages.push_back({at.id, at.incarnation, ask->memberId, ask->key, std::nullopt});
        } else if (const auto *start = std::get_if<start_run>(&one)) {
            m_started.push_back({at.id, at.incarnation, start->key});
        } else if (const auto *refused = std::get_if<send_refusal>(&one)) {
            if (refused->outcome == core::outcome::not_run) {
                m_saidNotRun.insert(m_waiters.at(refused->waiter));
            }
        }
    }
}

void replica_simulation::step(std::uint32_t kind, std::uint32_t choice)
{
    // How many of stepKinds lead to each step.
    constexpr std::array<std::uint32_t, 10> shares = {2, 4, 1, 3, 5, 9, 4, 2, 1, 1};
    std::uint32_t left = kind % stepKinds;
    std::size_t chosen = 0;
    while (left >= shares[chosen]) {
        left -= shares[chosen++];
    }
    replica &at = choose(choice);
    switch (chosen) {
    case 0:
        waitSome(choice);
        break;
    case 1:
        readList(at, m_lists.size() - 1);
        break;
    case 2:
        readList(at, at.listRead + choice / 8 % 2);
        break;
    case 3:
        submit(at, makeKey(choice / 8));
        break;
    case 4:
        resend(choice);
        break;
    case 5:
        if (!m_messages.empty()) {
            deliver(choice % m_messages.size());
        }
        break;
    case 6:
        if (!m_started.empty()) {
            execute(choice % m_started.size(), choice / 16);
        }
        break;
    case 7:
        loseOrTimeOut(at, choice);
        break;
    case 8:
        crashOrRestart(at, choice);
        break;
    default:
        removeFromList(at, choice);
        break;
    }
}

void replica_simulation::waitSome(std::uint32_t choice)
{
    constexpr std::array<std::chrono::milliseconds, 8> waits = {10ms,    10ms,    100ms,    300ms,
                                                                2'000ms, 6'000ms, 12'000ms, 40'000ms};
    advance(waits[choice % waits.size()]);
}

void replica_simulation::loseOrTimeOut(replica &at, std::uint32_t choice)
{
    if (choice % 8 == 0 && !m_messages.empty()) {
        lose(choice / 8 % m_messages.size());
    } else if (at.alive) {
        take(at, at.registry->onTimer(clockOf(at)));
    }
}

void replica_simulation::crashOrRestart(replica &at, std::uint32_t choice)
{
    if (choice / 8 % 2 == 0) {
        at.alive = false;
    }
    if (!at.alive && at.listed) {
        restart(at);
    }
}

// The replica is dead already, or cut off from the platform and still runs.
void replica_simulation::removeFromList(replica &at, std::uint32_t choice)
{
    at.listed = false;
    at.alive = at.alive && choice / 8 % 2 == 0;
    publishList();
    std::erase_if(m_replicas, [](const replica &one) {
        return !one.alive && !one.listed;
    });
    startReplica();
}

void replica_simulation::settle()
{
    publishList();
    for (replica &one : m_replicas) {
        readList(one, m_lists.size() - 1);
    }
    exchange();
}

void replica_simulation::exchange()
{
    while (!m_messages.empty() || !m_started.empty()) {
        if (!m_messages.empty()) {
            deliver(0);
        } else {
            execute(0, 3);
        }
    }
}

void replica_simulation::advance(std::chrono::milliseconds by)
{
    m_now += by;
    publishList();
}

std::string replica_simulation::submitFresh(std::uint32_t choice)
{
    const std::string key = makeKey(400);
    submit(choose(choice), key);
    return key;
}

std::string replica_simulation::submitBound(std::uint32_t choice)
{
    replica &at = choose(choice);
    std::string key = makeBoundKey(clockOf(at), {at.id, at.incarnation});
    submit(at, key);
    return key;
}

void replica_simulation::crash(std::uint32_t choice)
{
    choose(choice).alive = false;
}

void replica_simulation::replace(std::uint32_t choice)
{
    replica &at = choose(choice);
    at.alive = false;
    at.listed = false;
    std::erase_if(m_replicas, [](const replica &one) {
        return !one.alive && !one.listed;
    });
    startReplica();
}

void replica_simulation::expireSeals()
{
    m_messages.clear();
    for (replica &one : m_replicas) {
        if (one.alive) {
            take(one, one.registry->onTimer(clockOf(one) + m_options.sealTimeout));
        }
    }
}

std::vector<std::string> replica_simulation::violations() const
{
    std::vector<std::string> found;
    for (const auto &[key, runs] : m_runs) {
        if (runs > 1 || (runs > 0 && m_saidNotRun.contains(key))) {
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
