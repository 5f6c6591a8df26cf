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
    send_refusal result;
    result.outcome = outcome;
    result.code = std::move(code);
    return result;
}

// Of two replicas that collect seals for the same key concurrently, the one with the larger weight has precedence.
bool hasPrecedence(std::string_view key, std::string_view id, std::string_view otherId)
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
        , m_minCreationTime(started + creationTimeMargin())
        , m_replicas(m_self.id)
        , m_records(options.maxRecords)
    {
    }

    // Maximum time by which a key's creation time may be ahead of the clock of a process that accepts the key,
    // including clock skew.
    std::chrono::milliseconds creationTimeMargin() const
    {
        return m_options.clockSkewMargin + m_options.futureTolerance;
    }

    core::wall_time recordsCompleteSince() const
    {
        return std::max(m_started, m_records.evictedUpTo());
    }

    core::wall_time minCreationTime() const
    {
        return std::max(m_minCreationTime, m_records.evictedUpTo() + creationTimeMargin());
    }

    core::wall_time creationTimeOf(const request_key &key, core::wall_time now) const
    {
        return key.createdAt.value_or(now - m_options.opaqueKeyResendWindow);
    }

    record *addRecord(const request_key &key, core::wall_time now)
    {
        return m_records.add(key.text, creationTimeOf(key, now), key.createdAt.value_or(now));
    }

    // Returns the refusal if an unbound key can't run now, no value if it can.
    std::optional<send_refusal> checkRunnable(core::wall_time createdAt, core::wall_time now) const
    {
        if (!m_replicas.isSelfListed(now, m_options.listLease)) {
            send_refusal result = refusal(core::outcome::unknown, "instance_list_stale");
            result.retryAfter = m_options.sealTimeout;
            return result;
        }
        if (createdAt < minCreationTime()) {
            return refusal(core::outcome::unknown, "key_older_than_records");
        }
        return std::nullopt;
    }

    // Refuses all waiters and removes them from the record.
    void refuseWaiters(record &keyRecord, send_refusal answer, action_list &actions)
    {
        for (waiter_id waiter : std::exchange(keyRecord.waiters, {})) {
            answer.waiter = waiter;
            actions.emplace_back(answer);
        }
    }

    void answerWaiters(record &keyRecord, bool firstWaiterRan, action_list &actions)
    {
        bool replayed = !firstWaiterRan;
        for (waiter_id waiter : std::exchange(keyRecord.waiters, {})) {
            actions.emplace_back(send_answer{waiter, keyRecord.answer, replayed});
            replayed = true;
        }
    }

    void setState(std::string_view key, record &keyRecord, record_state state)
    {
        keyRecord.state = state;
        m_records.onStateChanged(key);
    }

    // Sets a final state for a key that doesn't run here, and refuses its waiters.
    void finishWithoutRun(std::string_view key, record &keyRecord, record_state state, const send_refusal &answer,
                          action_list &actions)
    {
        refuseWaiters(keyRecord, answer, actions);
        setState(key, keyRecord, state);
    }

    void yieldTo(std::string_view holderId, std::string_view key, record &keyRecord, action_list &actions)
    {
        keyRecord.holderId = holderId;
        finishWithoutRun(key, keyRecord, record_state::yielded, heldByOtherReplica(keyRecord), actions);
    }

    static send_refusal heldByOtherReplica(const record &keyRecord)
    {
        send_refusal result = refusal(core::outcome::unknown, "held_by_other_replica");
        result.holderId = keyRecord.holderId;
        return result;
    }

    // Refuses the waiters and removes the record. The key may be sent again: it was not run here, and the seals
    // collected so far are discarded.
    void abandon(std::string_view key, record &keyRecord, send_refusal answer, action_list &actions)
    {
        refuseWaiters(keyRecord, std::move(answer), actions);
        m_records.erase(key);
    }

    void startIfSealed(std::string_view key, record &keyRecord, core::wall_time now, action_list &actions)
    {
        if (!keyRecord.awaitedReplicas.empty()) {
            return;
        }
        if (auto reason = checkRunnable(keyRecord.createdAt, now)) {
            abandon(key, keyRecord, std::move(*reason), actions);
            return;
        }
        setState(key, keyRecord, record_state::running);
        actions.emplace_back(start_run{std::string(key)});
    }

    void submitKnown(record &keyRecord, waiter_id waiter, action_list &actions)
    {
        keyRecord.waiters.push_back(waiter);
        switch (keyRecord.state) {
        case record_state::sealing:
        case record_state::running:
            break;
        case record_state::ran:
            answerWaiters(keyRecord, false, actions);
            break;
        case record_state::refused:
            refuseWaiters(keyRecord, refusal(core::outcome::not_run, "key_refused_before"), actions);
            break;
        case record_state::yielded:
            refuseWaiters(keyRecord, heldByOtherReplica(keyRecord), actions);
            break;
        case record_state::unknown:
            refuseWaiters(keyRecord, refusal(core::outcome::unknown, "may_have_run"), actions);
            break;
        }
    }

    std::optional<send_refusal> checkNewKey(const request_key &key, core::wall_time now) const
    {
        if (key.boundInstance) {
            return checkBoundKey(key);
        }
        const core::wall_time createdAt = creationTimeOf(key, now);
        if (createdAt > now + m_options.futureTolerance) {
            // Further in the future than the margin, no other process can have accepted the key either.
            const bool provenNotRun = createdAt > now + creationTimeMargin();
            return refusal(provenNotRun ? core::outcome::not_run : core::outcome::unknown, "key_from_future");
        }
        return checkRunnable(createdAt, now);
    }

    std::optional<send_refusal> checkBoundKey(const request_key &key) const
    {
        if (*key.boundInstance != m_self) {
            send_refusal result = refusal(core::outcome::unknown, "key_bound_to_other_instance");
            result.holderId = key.boundInstance->id;
            return result;
        }
        if (*key.createdAt <= m_records.evictedUpTo()) {
            return refusal(core::outcome::unknown, "key_older_than_records");
        }
        return std::nullopt;
    }

    void submitNew(const request_key &key, waiter_id waiter, core::wall_time now, action_list &actions)
    {
        auto reason = checkNewKey(key, now);
        record *keyRecord = reason ? nullptr : addRecord(key, now);
        if (keyRecord == nullptr) {
            send_refusal answer = reason ? *reason : refusal(core::outcome::unknown, "too_many_keys");
            answer.waiter = waiter;
            actions.emplace_back(std::move(answer));
            return;
        }
        keyRecord->waiters.push_back(waiter);
        keyRecord->sealDeadline = now + m_options.sealTimeout;
        if (key.boundInstance) {
            setState(key.text, *keyRecord, record_state::running);
            actions.emplace_back(start_run{key.text});
            return;
        }
        for (const std::string &member : m_replicas.members()) {
            keyRecord->awaitedReplicas.insert(member);
            actions.emplace_back(ask_seal{member, key.text});
        }
        startIfSealed(key.text, *keyRecord, now, actions);
    }

    void onReplicasRemoved(std::span<const std::string> removed, core::wall_time now, action_list &actions)
    {
        for (const std::string &key : m_records.sealing()) {
            record *keyRecord = m_records.find(key);
            std::size_t erasedCount = 0;
            for (const std::string &id : removed) {
                erasedCount += keyRecord->awaitedReplicas.erase(id);
            }
            if (erasedCount > 0 && keyRecord->createdAt < minCreationTime()) {
                abandon(key, *keyRecord, refusal(core::outcome::unknown, "key_older_than_records"), actions);
            } else if (erasedCount > 0) {
                startIfSealed(key, *keyRecord, now, actions);
            }
        }
    }

    void onReplicasAdded(std::span<const std::string> added, action_list &actions)
    {
        for (const std::string &key : m_records.sealing()) {
            record *keyRecord = m_records.find(key);
            for (const std::string &id : added) {
                if (keyRecord->awaitedReplicas.insert(id).second) {
                    actions.emplace_back(ask_seal{id, key});
                }
            }
        }
    }

    void onSealed(std::string_view memberId, std::string_view key, record &keyRecord, const seal &reply,
                  core::wall_time now, action_list &actions)
    {
        if (reply.recordsCompleteSince + creationTimeMargin() > keyRecord.createdAt) {
            // An earlier incarnation of that replica may have run the key.
            finishWithoutRun(key, keyRecord, record_state::unknown,
                             refusal(core::outcome::unknown, "key_older_than_replica"), actions);
            return;
        }
        keyRecord.awaitedReplicas.erase(keyRecord.awaitedReplicas.find(memberId));
        startIfSealed(key, keyRecord, now, actions);
    }

    seal sealOf(const record &keyRecord) const
    {
        seal result;
        result.recordsCompleteSince = recordsCompleteSince();
        result.answer = keyRecord.answer;
        switch (keyRecord.state) {
        case record_state::sealing:
        case record_state::running:
            result.state = seal_state::taken;
            break;
        case record_state::ran:
            result.state = seal_state::ran;
            break;
        case record_state::refused:
            result.state = seal_state::refused;
            break;
        case record_state::yielded:
            result.state = seal_state::sealed;
            break;
        case record_state::unknown:
            result.state = seal_state::unknown;
            break;
        }
        return result;
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
    const auto change = m_impl->m_replicas.applyList(asOf, members, m_impl->m_options.clockSkewMargin);
    if (!change) {
        return actions;
    }
    if (change->selfJoined || !change->removed.empty()) {
        // A replica missing from this list may run keys until its lease on an older list expires.
        const core::wall_time leaseEnd = asOf + m_impl->m_options.removalWait + m_impl->creationTimeMargin();
        m_impl->m_minCreationTime = std::max(m_impl->m_minCreationTime, leaseEnd);
    }
    m_impl->onReplicasAdded(change->added, actions);
    m_impl->onReplicasRemoved(change->removed, now, actions);
    return actions;
}

action_list key_registry::submit(std::string_view key, waiter_id waiter, core::wall_time now)
{
    action_list actions;
    if (record *keyRecord = m_impl->m_records.find(key)) {
        m_impl->submitKnown(*keyRecord, waiter, actions);
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
    if (record *keyRecord = m_impl->m_records.find(key)) {
        std::erase(keyRecord->waiters, waiter);
    }
}

seal key_registry::onSealRequest(std::string_view requesterId, std::string_view key, core::wall_time now,
                                 action_list &actions)
{
    m_impl->m_replicas.addUnlisted(requesterId, now);
    record *keyRecord = m_impl->m_records.find(key);
    const auto parsed = parseKey(key);
    if (!parsed || parsed->boundInstance) {
        return {};
    }
    if (keyRecord == nullptr) {
        keyRecord = m_impl->addRecord(*parsed, now);
        if (keyRecord == nullptr) {
            return {};
        }
        m_impl->yieldTo(requesterId, key, *keyRecord, actions);
    } else if (keyRecord->state == record_state::sealing && !hasPrecedence(key, m_impl->m_self.id, requesterId)) {
        m_impl->yieldTo(requesterId, key, *keyRecord, actions);
    }
    return m_impl->sealOf(*keyRecord);
}

action_list key_registry::onSealReply(std::string_view memberId, std::string_view key, const seal &reply,
                                      core::wall_time now)
{
    action_list actions;
    record *keyRecord = m_impl->m_records.find(key);
    if (keyRecord == nullptr || keyRecord->state != record_state::sealing
        || !keyRecord->awaitedReplicas.contains(memberId)) {
        return actions;
    }
    switch (reply.state) {
    case seal_state::sealed:
        m_impl->onSealed(memberId, key, *keyRecord, reply, now, actions);
        break;
    case seal_state::taken:
        m_impl->yieldTo(memberId, key, *keyRecord, actions);
        break;
    case seal_state::ran:
        keyRecord->answer = reply.answer;
        m_impl->answerWaiters(*keyRecord, false, actions);
        m_impl->setState(key, *keyRecord, record_state::ran);
        break;
    case seal_state::refused:
        m_impl->finishWithoutRun(key, *keyRecord, record_state::refused,
                                 refusal(core::outcome::not_run, "key_refused_before"), actions);
        break;
    case seal_state::unknown:
        m_impl->finishWithoutRun(key, *keyRecord, record_state::unknown,
                                 refusal(core::outcome::unknown, "may_have_run"), actions);
        break;
    }
    return actions;
}

action_list key_registry::onSealFailed(std::string_view memberId, std::string_view key, core::wall_time)
{
    action_list actions;
    record *keyRecord = m_impl->m_records.find(key);
    if (keyRecord != nullptr && keyRecord->state == record_state::sealing
        && keyRecord->awaitedReplicas.contains(memberId)) {
        send_refusal answer = refusal(core::outcome::unknown, "replica_unreachable");
        answer.retryAfter = m_impl->m_options.sealTimeout;
        m_impl->abandon(key, *keyRecord, std::move(answer), actions);
    }
    return actions;
}

action_list key_registry::onRunEnded(std::string_view key, run_result result, core::wall_time)
{
    action_list actions;
    record *keyRecord = m_impl->m_records.find(key);
    if (keyRecord == nullptr || keyRecord->state != record_state::running) {
        return actions;
    }
    switch (result.end) {
    case run_end::answered:
        if (result.answer.body.size() > m_impl->m_options.maxAnswerBytes) {
            result.answer.body.clear();
            result.answer.bodyKept = false;
        }
        keyRecord->answer = std::make_shared<const recorded_answer>(std::move(result.answer));
        m_impl->answerWaiters(*keyRecord, true, actions);
        m_impl->setState(key, *keyRecord, record_state::ran);
        break;
    case run_end::not_sent:
        m_impl->finishWithoutRun(key, *keyRecord, record_state::refused, refusal(core::outcome::not_run, "not_sent"),
                                 actions);
        break;
    case run_end::unknown:
        m_impl->finishWithoutRun(key, *keyRecord, record_state::unknown,
                                 refusal(core::outcome::unknown, "may_have_run"), actions);
        break;
    }
    return actions;
}

action_list key_registry::onTimer(core::wall_time now)
{
    action_list actions;
    for (const std::string &key : m_impl->m_records.sealing()) {
        record *keyRecord = m_impl->m_records.find(key);
        if (now >= keyRecord->sealDeadline) {
            send_refusal answer = refusal(core::outcome::unknown, "replica_unreachable");
            answer.retryAfter = m_impl->m_options.sealTimeout;
            m_impl->abandon(key, *keyRecord, std::move(answer), actions);
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
