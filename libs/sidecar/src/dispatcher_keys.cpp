#include "dispatcher_impl.hpp"
#include "outcomes.hpp"

#include <medlarrack/idempotency/run_result.hpp>
#include <medlarrack/idempotency/seal.hpp>

#include <iterator>
#include <utility>

namespace medlarrack::sidecar {
namespace {

peer::seal_state toMessage(idempotency::seal_state state)
{
    switch (state) {
    case idempotency::seal_state::sealed:
        return peer::seal_state::sealed;
    case idempotency::seal_state::taken:
        return peer::seal_state::taken;
    case idempotency::seal_state::ran:
        return peer::seal_state::ran;
    case idempotency::seal_state::refused:
        return peer::seal_state::refused;
    case idempotency::seal_state::unknown:
        break;
    }
    return peer::seal_state::unknown;
}

idempotency::seal_state fromMessage(peer::seal_state state)
{
    switch (state) {
    case peer::seal_state::sealed:
        return idempotency::seal_state::sealed;
    case peer::seal_state::taken:
        return idempotency::seal_state::taken;
    case peer::seal_state::ran:
        return idempotency::seal_state::ran;
    case peer::seal_state::refused:
        return idempotency::seal_state::refused;
    case peer::seal_state::unknown:
        break;
    }
    return idempotency::seal_state::unknown;
}

idempotency::seal toSeal(const peer::seal_reply &reply)
{
    idempotency::seal seal;
    seal.state = fromMessage(reply.state);
    seal.recordsCompleteSince = core::wall_time{std::chrono::milliseconds(reply.knowsSinceMs)};
    if (seal.state == idempotency::seal_state::ran) {
        idempotency::recorded_answer answer{reply.status, reply.headers, reply.body, reply.bodyKept};
        seal.answer = std::make_shared<const idempotency::recorded_answer>(std::move(answer));
    }
    return seal;
}

idempotency::run_end toRunEnd(engine::call_end end)
{
    switch (end) {
    case engine::call_end::complete:
        return idempotency::run_end::answered;
    case engine::call_end::not_sent:
    case engine::call_end::declined:
        return idempotency::run_end::not_sent;
    case engine::call_end::broken:
    case engine::call_end::cancelled:
        break;
    }
    return idempotency::run_end::unknown;
}

} // namespace

void dispatcher::impl::onInstanceList(core::wall_time asOf, std::span<const std::string> members)
{
    process([&](core::monotonic_time /*now*/) {
        addKeyActions(m_keys.onInstanceList(asOf, members, m_dependencies.clock.wallNow()));
        return effects{};
    });
}

peer::seal_reply dispatcher::impl::onSealRequest(const peer::seal_request &request)
{
    idempotency::seal localSeal;
    process([&](core::monotonic_time /*now*/) {
        idempotency::action_list actions;
        localSeal =
            m_keys.onSealRequest(request.asker.id, request.idempotencyKey, m_dependencies.clock.wallNow(), actions);
        addKeyActions(std::move(actions));
        return effects{};
    });
    peer::seal_reply reply;
    reply.state = toMessage(localSeal.state);
    reply.by = m_options.self;
    reply.knowsSinceMs = localSeal.recordsCompleteSince.time_since_epoch().count();
    if (localSeal.answer) {
        reply.status = localSeal.answer->status;
        reply.headers = localSeal.answer->headers;
        reply.body = localSeal.answer->body;
        reply.bodyKept = localSeal.answer->bodyKept;
    }
    return reply;
}

void dispatcher::impl::onSealReply(const std::string &memberId, const std::string &key,
                                   const std::optional<peer::seal_reply> &reply)
{
    process([&](core::monotonic_time /*now*/) {
        const auto now = m_dependencies.clock.wallNow();
        // The replica's address may have been reused by another process.
        const bool fromMember = reply && reply->by.id == memberId;
        addKeyActions(fromMember ? m_keys.onSealReply(memberId, key, toSeal(*reply), now)
                                 : m_keys.onSealFailed(memberId, key, now));
        return effects{};
    });
}

void dispatcher::impl::submitKeyed(const request_ptr &request)
{
    process([&](core::monotonic_time /*now*/) {
        if (m_requests.contains(request->id)) {
            const std::string &key = request->key;
            request->keyRegistered = true;
            m_runnerByKey.try_emplace(key, request->id);
            addKeyActions(m_keys.submit(key, request->id, m_dependencies.clock.wallNow()));
        }
        return effects{};
    });
}

void dispatcher::impl::execute(idempotency::action_list actions)
{
    for (idempotency::action &action : actions) {
        if (const auto *ask = std::get_if<idempotency::ask_seal>(&action)) {
            m_dependencies.requestSeal(ask->memberId, ask->key);
        } else if (const auto *run = std::get_if<idempotency::start_run>(&action)) {
            startKeyedRun(run->key);
        } else if (const auto *answer = std::get_if<idempotency::send_answer>(&action)) {
            answerWaiter(answer->waiter, [&](auto &request) {
                request.relay.replay(*answer->answer);
            });
        } else if (const auto *refused = std::get_if<idempotency::send_refusal>(&action)) {
            answerWaiter(refused->waiter, [&](auto &request) {
                auto message = detail::keyRefused(*refused);
                message.newestTicket = m_dependencies.newestTicket();
                request.relay.refuse(std::move(message));
            });
        }
    }
}

void dispatcher::impl::startKeyedRun(const std::string &key)
{
    request_ptr runner;
    process([&](core::monotonic_time /*now*/) {
        const auto position = m_runnerByKey.find(key);
        const auto found = position == m_runnerByKey.end() ? m_requests.end() : m_requests.find(position->second);
        if (found != m_requests.end()) {
            runner = found->second;
            return effects{};
        }
        // The request that was to run has been removed: its caller disconnected or its deadline passed.
        addKeyActions(m_keys.onRunEnded(key, {idempotency::run_end::not_sent, {}}, m_dependencies.clock.wallNow()));
        return effects{};
    });
    if (runner) {
        sendAccepted(runner);
    }
}

void dispatcher::impl::answerWaiter(idempotency::waiter_id waiter,
                                    const std::function<void(detail::active_request &)> &answer)
{
    request_ptr request;
    process([&](core::monotonic_time now) {
        const auto found = m_requests.find(waiter);
        if (found == m_requests.end()) {
            return effects{};
        }
        request = found->second;
        remove(request);
        (void)m_scheduler.cancelQueued(request->id, now);
        const auto runner = m_runnerByKey.find(request->key);
        if (runner != m_runnerByKey.end() && runner->second == waiter) {
            m_runnerByKey.erase(runner);
        }
        return m_scheduler.tick(now);
    });
    if (request) {
        m_dependencies.journal.addEvent(request->request.requestId, "answered_by_key", request->request.idempotencyKey);
        answer(*request);
    }
}

void dispatcher::impl::recordAnswer(detail::active_request &request, std::string_view piece) const
{
    if (!request.keyRegistered || !request.answer.bodyKept) {
        return;
    }
    request.answer.body.append(piece);
    if (request.answer.body.size() > m_options.keySettings.maxAnswerBytes) {
        request.answer.bodyKept = false;
        request.answer.body.clear();
    }
}

void dispatcher::impl::completeKey(detail::active_request &request, const engine::call_result &result)
{
    if (!request.keyRegistered) {
        return;
    }
    const std::string &key = request.key;
    m_runnerByKey.erase(key);
    // This request receives its answer directly from its run.
    m_keys.removeWaiter(key, request.id);
    addKeyActions(
        m_keys.onRunEnded(key, {toRunEnd(result.end), std::move(request.answer)}, m_dependencies.clock.wallNow()));
}

bool dispatcher::impl::releaseKey(const detail::active_request &request)
{
    if (!request.keyRegistered) {
        return true;
    }
    const std::string &key = request.key;
    m_keys.removeWaiter(key, request.id);
    const auto runner = m_runnerByKey.find(key);
    if (runner == m_runnerByKey.end() || runner->second != request.id) {
        return false;
    }
    // This request was to run the key. While seals are still being collected, startKeyedRun() reports the key as not
    // run when it finds no request to run, unless the caller has sent the key again by then.
    m_runnerByKey.erase(runner);
    addKeyActions(m_keys.onRunEnded(key, {idempotency::run_end::not_sent, {}}, m_dependencies.clock.wallNow()));
    return true;
}

void dispatcher::impl::addKeyActions(idempotency::action_list actions)
{
    std::move(actions.begin(), actions.end(), std::back_inserter(m_keyActions));
}

} // namespace medlarrack::sidecar
