#include "record_table.hpp"
#include "replica_set.hpp"

#include <medlarrack/core/hash.hpp>
#include <medlarrack/idempotency/key_registry.hpp>
#include <medlarrack/idempotency/request_key.hpp>

#include <algorithm>
#include <utility>

namespace medlarrack::idempotency {

using detail::record;
using detail::record_state;

namespace {

send_refusal refusal(core::outcome outcome, std::string code)
{
    send_refusal made;
    made.outcome = outcome;
    made.code = std::move(code);
    return made;
}

// Of two replicas that ask for one key at the same time, the one with the larger weight goes on.
bool goesFirst(std::string_view key, std::string_view id, std::string_view otherId)
{
    const std::uint64_t keyHash = core::hash64(key);
    const std::uint64_t weight = core::rendezvousWeight(keyHash, core::hash64(id));
    const std::uint64_t otherWeight = core::rendezvousWeight(keyHash, core::hash64(otherId));
    return weight == otherWeight ? id > otherId : weight > otherWeight;
}

} // namespace

class key_registry::impl
{
public:
    impl(settings options, core::instance_ref self, core::wall_time started)
        : m_options(options)
        , m_self(std::move(self))
        , m_started(started)
        , m_minCreationTime(started + margin())
        , m_replicas(m_self.id)
        , m_records(options.maxRecords)
    {
    }

    // Largest difference between a key's birth and the clock of a process that takes it, clock skew included.
    std::chrono::milliseconds margin() const
    {
        return m_options.clockSkewMargin + m_options.futureTolerance;
    }

    core::wall_time recordsCompleteSince() const
    {
        return std::max(m_started, m_records.evictedUpTo());
    }

    core::wall_time minCreationTime() const
    {
        return std::max(m_minCreationTime, m_records.evictedUpTo() + margin());
    }

    core::wall_time creationTimeOf(const request_key &key, core::wall_time now) const
    {
        return key.createdAt.value_or(now - m_options.opaqueKeyResendWindow);
    }

    record *addRecord(const request_key &key, core::wall_time now)
    {
        return m_records.add(key.text, creationTimeOf(key, now), key.createdAt.value_or(now));
    }

    // The reason why an unbound key can't be run now; nothing if it can.
    std::optional<send_refusal> obstacle(core::wall_time createdAt, core::wall_time now) const
    {
        if (!m_replicas.isListed(now, m_options.listLease)) {
            send_refusal made = refusal(core::outcome::unknown, "instance_list_stale");
            made.retryAfter = m_options.sealTimeout;
            return made;
        }
        if (createdAt < minCreationTime()) {
            return refusal(core::outcome::unknown, "key_older_than_records");
        }
        return std::nullopt;
    }

    // Answers all waiters and forgets them.
    void refuseWaiters(record &entry, send_refusal answer, action_list &actions)
    {
        for (waiter_id waiter : std::exchange(entry.waiters, {})) {
            answer.waiter = waiter;
            actions.emplace_back(answer);
        }
    }

    void answerWaiters(record &entry, bool firstRan, action_list &actions)
    {
        bool replayed = !firstRan;
        for (waiter_id waiter : std::exchange(entry.waiters, {})) {
            actions.emplace_back(send_answer{waiter, entry.answer, replayed});
            replayed = true;
        }
    }

    void setState(std::string_view key, record &entry, record_state state)
    {
        entry.state = state;
        m_records.onStateChanged(key);
    }

    // Ends a key with a state that allows no run, and refuses its waiters.
    void close(std::string_view key, record &entry, record_state state, const send_refusal &answer,
               action_list &actions)
    {
        refuseWaiters(entry, answer, actions);
        setState(key, entry, state);
    }

    void yieldTo(std::string_view holderId, std::string_view key, record &entry, action_list &actions)
    {
        entry.holderId = holderId;
        close(key, entry, record_state::yielded, heldElsewhere(entry), actions);
    }

    static send_refusal heldElsewhere(const record &entry)
    {
        send_refusal made = refusal(core::outcome::unknown, "held_by_other_replica");
        made.holderId = entry.holderId;
        return made;
    }

    // Gives a key up for now: nothing was run here, and the seals collected are void.
    void giveUp(std::string_view key, record &entry, send_refusal answer, action_list &actions)
    {
        refuseWaiters(entry, std::move(answer), actions);
        m_records.erase(key);
    }

    void startIfSealed(std::string_view key, record &entry, core::wall_time now, action_list &actions)
    {
        if (!entry.pending.empty()) {
            return;
        }
        if (auto reason = obstacle(entry.createdAt, now)) {
            giveUp(key, entry, std::move(*reason), actions);
            return;
        }
        setState(key, entry, record_state::running);
        actions.emplace_back(start_run{std::string(key)});
    }

    void submitKnown(record &entry, waiter_id waiter, action_list &actions)
    {
        entry.waiters.push_back(waiter);
        switch (entry.state) {
        case record_state::sealing:
        case record_state::running:
            break;
        case record_state::ran:
            answerWaiters(entry, false, actions);
            break;
        case record_state::refused:
            refuseWaiters(entry, refusal(core::outcome::not_run, "key_refused_before"), actions);
            break;
        case record_state::yielded:
            refuseWaiters(entry, heldElsewhere(entry), actions);
            break;
        case record_state::unknown:
            refuseWaiters(entry, refusal(core::outcome::unknown, "may_have_run"), actions);
            break;
        }
    }

    std::optional<send_refusal> checkNew(const request_key &key, core::wall_time now) const
    {
        if (key.boundInstance) {
            return checkBound(key);
        }
        const core::wall_time createdAt = creationTimeOf(key, now);
        if (createdAt > now + m_options.futureTolerance) {
            // Beyond the guard no other process can have taken it either.
            const bool proven = createdAt > now + margin();
            return refusal(proven ? core::outcome::not_run : core::outcome::unknown, "key_from_future");
        }
        return obstacle(createdAt, now);
    }

    std::optional<send_refusal> checkBound(const request_key &key) const
    {
        if (*key.boundInstance != m_self) {
            send_refusal made = refusal(core::outcome::unknown, "key_bound_to_other_instance");
            made.holderId = key.boundInstance->id;
            return made;
        }
        if (*key.createdAt <= m_records.evictedUpTo()) {
            return refusal(core::outcome::unknown, "key_older_than_records");
        }
        return std::nullopt;
    }

    void submitNew(const request_key &key, waiter_id waiter, core::wall_time now, action_list &actions)
    {
        auto reason = checkNew(key, now);
        record *entry = reason ? nullptr : addRecord(key, now);
        if (entry == nullptr) {
            send_refusal answer = reason ? *reason : refusal(core::outcome::unknown, "too_many_keys");
            answer.waiter = waiter;
            actions.emplace_back(std::move(answer));
            return;
        }
        entry->waiters.push_back(waiter);
        entry->sealDeadline = now + m_options.sealTimeout;
        if (key.boundInstance) {
            setState(key.text, *entry, record_state::running);
            actions.emplace_back(start_run{key.text});
            return;
        }
        for (const std::string &member : m_replicas.members()) {
            entry->pending.insert(member);
            actions.emplace_back(ask_seal{member, key.text});
        }
        startIfSealed(key.text, *entry, now, actions);
    }

    void onRemoved(std::span<const std::string> removed, core::wall_time now, action_list &actions)
    {
        for (const std::string &key : m_records.sealing()) {
            record *entry = m_records.find(key);
            std::size_t missing = 0;
            for (const std::string &id : removed) {
                missing += entry->pending.erase(id);
            }
            if (missing > 0 && entry->createdAt < minCreationTime()) {
                giveUp(key, *entry, refusal(core::outcome::unknown, "key_older_than_records"), actions);
            } else if (missing > 0) {
                startIfSealed(key, *entry, now, actions);
            }
        }
    }

    void onAdded(std::span<const std::string> added, action_list &actions)
    {
        for (const std::string &key : m_records.sealing()) {
            record *entry = m_records.find(key);
            for (const std::string &id : added) {
                if (entry->pending.insert(id).second) {
                    actions.emplace_back(ask_seal{id, key});
                }
            }
        }
    }

    void onSealed(std::string_view memberId, std::string_view key, record &entry, const seal &reply,
                  core::wall_time now, action_list &actions)
    {
        if (reply.recordsCompleteSince + margin() > entry.createdAt) {
            // An earlier process of that replica may have run it.
            close(key, entry, record_state::unknown, refusal(core::outcome::unknown, "key_older_than_replica"),
                  actions);
            return;
        }
        entry.pending.erase(entry.pending.find(memberId));
        startIfSealed(key, entry, now, actions);
    }

    seal sealOf(const record &entry) const
    {
        seal made;
        made.recordsCompleteSince = recordsCompleteSince();
        made.answer = entry.answer;
        switch (entry.state) {
        case record_state::sealing:
        case record_state::running:
            made.state = seal_state::taken;
            break;
        case record_state::ran:
            made.state = seal_state::ran;
            break;
        case record_state::refused:
            made.state = seal_state::refused;
            break;
        case record_state::yielded:
            made.state = seal_state::sealed;
            break;
        case record_state::unknown:
            made.state = seal_state::unknown;
            break;
        }
        return made;
    }

    const settings m_options;
    const core::instance_ref m_self;
    const core::wall_time m_started;
    core::wall_time m_minCreationTime;
    detail::replica_set m_replicas;
    detail::record_table m_records;
};

key_registry::key_registry(settings options, core::instance_ref self, core::wall_time started)
    : m_impl(std::make_unique<impl>(options, std::move(self), started))
{
}

key_registry::~key_registry() = default;

action_list key_registry::onInstanceList(core::wall_time asOf, std::span<const std::string> members,
                                         core::wall_time now)
{
    action_list actions;
    const auto change = m_impl->m_replicas.apply(asOf, members, m_impl->m_options.clockSkewMargin);
    if (!change) {
        return actions;
    }
    if (change->joined || !change->removed.empty()) {
        // A replica missing from this list may run keys until its lease on an older list ends.
        const core::wall_time leaseEnd = asOf + m_impl->m_options.removalWait + m_impl->margin();
        m_impl->m_minCreationTime = std::max(m_impl->m_minCreationTime, leaseEnd);
    }
    m_impl->onAdded(change->added, actions);
    m_impl->onRemoved(change->removed, now, actions);
    return actions;
}

action_list key_registry::submit(std::string_view key, waiter_id waiter, core::wall_time now)
{
    action_list actions;
    if (record *entry = m_impl->m_records.find(key)) {
        m_impl->submitKnown(*entry, waiter, actions);
        return actions;
    }
    const auto parsed = parseKey(key);
    if (!parsed) {
        send_refusal answer = refusal(core::outcome::not_run, "bad_idempotency_key");
        answer.waiter = waiter;
        actions.emplace_back(std::move(answer));
        return actions;
    }
    m_impl->submitNew(*parsed, waiter, now, actions);
    return actions;
}

void key_registry::removeWaiter(std::string_view key, waiter_id waiter)
{
    if (record *entry = m_impl->m_records.find(key)) {
        std::erase(entry->waiters, waiter);
    }
}

seal key_registry::onSealRequest(std::string_view requesterId, std::string_view key, core::wall_time now,
                                 action_list &actions)
{
    m_impl->m_replicas.introduce(requesterId, now);
    record *entry = m_impl->m_records.find(key);
    const auto parsed = parseKey(key);
    if (!parsed || parsed->boundInstance) {
        return {};
    }
    if (entry == nullptr) {
        entry = m_impl->addRecord(*parsed, now);
        if (entry == nullptr) {
            return {};
        }
        m_impl->yieldTo(requesterId, key, *entry, actions);
    } else if (entry->state == record_state::sealing && !goesFirst(key, m_impl->m_self.id, requesterId)) {
        m_impl->yieldTo(requesterId, key, *entry, actions);
    }
    return m_impl->sealOf(*entry);
}

action_list key_registry::onSealReply(std::string_view memberId, std::string_view key, const seal &reply,
                                      core::wall_time now)
{
    action_list actions;
    record *entry = m_impl->m_records.find(key);
    if (entry == nullptr || entry->state != record_state::sealing || !entry->pending.contains(memberId)) {
        return actions;
    }
    switch (reply.state) {
    case seal_state::sealed:
        m_impl->onSealed(memberId, key, *entry, reply, now, actions);
        break;
    case seal_state::taken:
        m_impl->yieldTo(memberId, key, *entry, actions);
        break;
    case seal_state::ran:
        entry->answer = reply.answer;
        m_impl->answerWaiters(*entry, false, actions);
        m_impl->setState(key, *entry, record_state::ran);
        break;
    case seal_state::refused:
        m_impl->close(key, *entry, record_state::refused, refusal(core::outcome::not_run, "key_refused_before"),
                      actions);
        break;
    case seal_state::unknown:
        m_impl->close(key, *entry, record_state::unknown, refusal(core::outcome::unknown, "may_have_run"), actions);
        break;
    }
    return actions;
}

action_list key_registry::onSealFailed(std::string_view memberId, std::string_view key, core::wall_time)
{
    action_list actions;
    record *entry = m_impl->m_records.find(key);
    if (entry != nullptr && entry->state == record_state::sealing && entry->pending.contains(memberId)) {
        send_refusal answer = refusal(core::outcome::unknown, "replica_unreachable");
        answer.retryAfter = m_impl->m_options.sealTimeout;
        m_impl->giveUp(key, *entry, std::move(answer), actions);
    }
    return actions;
}

action_list key_registry::onRunEnded(std::string_view key, run_result result, core::wall_time)
{
    action_list actions;
    record *entry = m_impl->m_records.find(key);
    if (entry == nullptr || entry->state != record_state::running) {
        return actions;
    }
    switch (result.end) {
    case run_end::answered:
        if (result.answer.body.size() > m_impl->m_options.maxAnswerBytes) {
            result.answer.body.clear();
            result.answer.bodyKept = false;
        }
        entry->answer = std::make_shared<const recorded_answer>(std::move(result.answer));
        m_impl->answerWaiters(*entry, true, actions);
        m_impl->setState(key, *entry, record_state::ran);
        break;
    case run_end::not_sent:
        m_impl->close(key, *entry, record_state::refused, refusal(core::outcome::not_run, "not_sent"), actions);
        break;
    case run_end::unknown:
        m_impl->close(key, *entry, record_state::unknown, refusal(core::outcome::unknown, "may_have_run"), actions);
        break;
    }
    return actions;
}

action_list key_registry::onTimer(core::wall_time now)
{
    action_list actions;
    for (const std::string &key : m_impl->m_records.sealing()) {
        record *entry = m_impl->m_records.find(key);
        if (now >= entry->sealDeadline) {
            send_refusal answer = refusal(core::outcome::unknown, "replica_unreachable");
            answer.retryAfter = m_impl->m_options.sealTimeout;
            m_impl->giveUp(key, *entry, std::move(answer), actions);
        }
    }
    return actions;
}

std::size_t key_registry::size() const
{
    return m_impl->m_records.size();
}

core::wall_time key_registry::minCreationTime() const
{
    return m_impl->minCreationTime();
}

} // namespace medlarrack::idempotency
