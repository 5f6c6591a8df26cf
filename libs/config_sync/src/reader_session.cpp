#include "reader_session.hpp"

#include <medlarrack/core/hash.hpp>

#include <asio/post.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace medlarrack::config_sync::detail {

namespace {

constexpr int statusOk = 200;
constexpr int statusTooMany = 429;
constexpr std::chrono::milliseconds minTimerDelay{1};
/// A long answer takes a while on a slow link that it shares with the traffic of callers.
constexpr std::uint32_t minBytesPerSecond = 65'536;
/// Time in which the longest answer, a megabyte, comes at that rate.
constexpr std::chrono::seconds longestTransfer{16};

std::uint64_t seedFor(const instances::instance &self, const core::clock &clock)
{
    return core::hash64(self.id, std::random_device()())
        ^ static_cast<std::uint64_t>(clock.now().time_since_epoch().count());
}

std::optional<peer_ref> toPeerRef(const std::optional<instances::instance> &found)
{
    if (!found || found->kind != instances::instance_kind::sidecar) {
        return std::nullopt;
    }
    return peer_ref{found->id, found->address, found->port};
}

} // namespace

reader_session::reader_session(asio::io_context &context, http::client &client, reader_settings settings,
                               tickets::state &state, instances::view &view, const core::clock &clock,
                               reader_callbacks callbacks)
    : m_settings(std::move(settings))
    , m_strand(asio::make_strand(context))
    , m_timer(m_strand)
    , m_client(client)
    , m_state(state)
    , m_view(view)
    , m_clock(clock)
    , m_callbacks(std::move(callbacks))
    , m_planner(m_settings.planner, m_settings.self, static_cast<bool>(m_callbacks.queryPeer),
                seedFor(m_settings.self, clock), clock.now())
{
    if (!m_settings.seeds.empty()) {
        m_planner.setSeeds(m_settings.seeds);
    }
}

template<typename Handler>
void reader_session::onStrand(Handler handler)
{
    asio::post(m_strand, [weak = weak_from_this(), handler = std::move(handler)]() mutable {
        if (const auto self = weak.lock()) {
            self->handle(handler);
        }
    });
}

template<typename Handler>
void reader_session::handle(Handler &handler)
{
    const std::lock_guard lock(m_handlerMutex);
    if (!m_stopped) {
        handler(*this);
        runPlanner();
    }
}

void reader_session::start()
{
    onStrand([](reader_session &) {});
}

void reader_session::stop()
{
    const std::lock_guard lock(m_handlerMutex);
    if (m_stopped.exchange(true)) {
        return;
    }
    m_ready = false;
    asio::post(m_strand, [self = shared_from_this()] {
        self->m_timer.cancel();
    });
}

bool reader_session::ready() const
{
    // After a pause this may be called before the planner has detected it.
    const core::monotonic_time lastRun{core::monotonic_time::duration(m_lastPlannerRun.load())};
    return m_ready && m_clock.now() - lastRun <= m_settings.planner.pauseLimit;
}

void reader_session::noteNewest(std::uint64_t newestTicket, std::string_view senderId)
{
    const auto known = position();
    if (newestTicket <= std::max(known.newest, known.contiguous)) {
        return;
    }
    onStrand([newestTicket, sender = toPeerRef(m_view.find(senderId))](reader_session &self) {
        self.m_planner.onTicketReported(newestTicket, sender, self.position(), self.m_clock.now());
    });
}

peer::tickets_reply reader_session::answer(const peer::tickets_request &request) const
{
    return makeReply(m_state, ready(), request);
}

reader_status reader_session::status() const
{
    reader_status result;
    {
        const std::lock_guard lock(m_statusMutex);
        result = m_status;
    }
    result.ready = ready();
    const auto known = position();
    result.newestTicket = known.newest;
    result.contiguousTicket = known.contiguous;
    return result;
}

ticket_position reader_session::position() const
{
    return {m_state.contiguous(), m_state.newest()};
}

void reader_session::runPlanner()
{
    const auto now = m_clock.now();
    const auto actions = m_planner.next(position(), now);
    m_lastPlannerRun = now.time_since_epoch().count();
    m_ready = m_planner.ready(position(), now);
    updateStatus([this](reader_status &status) {
        status.isReader = m_planner.isReader();
    });
    for (const auto &action : actions) {
        std::visit(
            [this](const auto &call) {
                run(call);
            },
            action);
    }
    armTimer();
}

void reader_session::armTimer()
{
    const auto wait = std::max<std::chrono::nanoseconds>(m_planner.due() - m_clock.now(), minTimerDelay);
    m_timer.expires_after(wait);
    m_timer.async_wait([weak = weak_from_this()](const std::error_code &error) {
        const auto self = weak.lock();
        if (!error && self) {
            auto nothing = [](reader_session &) {};
            self->handle(nothing);
        }
    });
}

void reader_session::run(const read_changes &call)
{
    updateStatus([](reader_status &status) {
        ++status.changesCalls;
    });
    const auto path =
        "/v1/changes?after=" + std::to_string(call.after) + "&wait_ms=" + std::to_string(call.wait.count());
    get(path, call.wait,
        [weak = weak_from_this(), after = call.after](const http::client_result &result, const std::string &body) {
            if (const auto self = weak.lock()) {
                self->onStrand([after, result, body](reader_session &session) {
                    session.onChangesResponse(after, result, body);
                });
            }
        });
}

void reader_session::run(const read_instances & /*call*/)
{
    updateStatus([](reader_status &status) {
        ++status.instancesCalls;
    });
    get("/v1/instances", std::chrono::milliseconds(0),
        [weak = weak_from_this()](const http::client_result &result, const std::string &body) {
            if (const auto self = weak.lock()) {
                self->onStrand([result, body](reader_session &session) {
                    session.onInstancesResponse(result, body);
                });
            }
        });
}

void reader_session::run(const query_peer &query)
{
    updateStatus([](reader_status &status) {
        ++status.peerCalls;
    });
    m_callbacks.queryPeer(query.peer, {query.after},
                          [weak = weak_from_this(), query](std::optional<peer::tickets_reply> reply) {
                              if (const auto self = weak.lock()) {
                                  self->onStrand([query, reply = std::move(reply)](reader_session &session) {
                                      session.onPeerReply(query, reply);
                                  });
                              }
                          });
}

void reader_session::get(const std::string &path, std::chrono::milliseconds wait, body_handler handler)
{
    http::client_request request;
    request.url = m_settings.platformUrl + path;
    request.minBytesPerSecond = minBytesPerSecond;
    request.stallTime = wait + m_settings.callTimeout;
    request.timeout = request.stallTime + longestTransfer;
    http::fetch(m_client, std::move(request),
                [handler = std::move(handler)](const http::client_result &result, const std::string &body) {
                    handler(result, body);
                });
}

call_result reader_session::classify(const http::client_result &result)
{
    if (result.progress == http::client_progress::complete && result.status == statusOk) {
        return call_result::answered;
    }
    const bool throttled = result.status == statusTooMany;
    updateStatus([&](reader_status &status) {
        ++status.serviceFailures;
        status.throttled += throttled ? 1 : 0;
        status.lastError = result.errorCode.empty() ? "status " + std::to_string(result.status)
                                                    : result.errorCode + ": " + result.errorMessage;
    });
    return throttled ? call_result::throttled : call_result::failed;
}

call_result reader_session::recordMalformedAnswer(const core::reason &why)
{
    updateStatus([&](reader_status &status) {
        ++status.serviceFailures;
        status.lastError = why.code + ": " + why.message;
    });
    return call_result::failed;
}

void reader_session::onChangesResponse(std::uint64_t after, const http::client_result &result, const std::string &body)
{
    auto callResult = classify(result);
    if (callResult == call_result::answered) {
        core::reason why;
        const auto outcome = applyChanges(m_state, after, body, why);
        if (outcome) {
            callResult = outcome->more ? call_result::partial : call_result::answered;
            updateStatus([this](reader_status &status) {
                status.lastChanges = m_clock.now();
            });
            report(*outcome);
        } else {
            callResult = recordMalformedAnswer(why);
        }
    }
    m_planner.onChanges(callResult, position(), m_clock.now());
}

void reader_session::onInstancesResponse(const http::client_result &result, const std::string &body)
{
    auto callResult = classify(result);
    bool changed = false;
    if (callResult == call_result::answered) {
        core::reason why;
        std::size_t skippedCount = 0;
        auto list = parseInstances(body, skippedCount, why);
        if (list) {
            changed = m_view.apply(std::move(*list), m_clock.now());
            updateStatus([this](reader_status &status) {
                status.lastInstances = m_clock.now();
            });
        } else {
            callResult = recordMalformedAnswer(why);
        }
    }
    m_planner.onInstances(callResult, m_view.current().get(), m_clock.now());
    if (changed && m_callbacks.onInstances) {
        m_callbacks.onInstances();
    }
}

void reader_session::onPeerReply(const query_peer &query, const std::optional<peer::tickets_reply> &reply)
{
    auto peerResult = peer_result::failed;
    if (reply) {
        const auto outcome = applyReply(m_state, query.after, *reply);
        peerResult = outcome.more ? peer_result::partial : peer_result::complete;
        if (outcome.more && reply->tickets.empty()) {
            peerResult = peer_result::not_ready;
        }
        report(outcome);
    }
    updateStatus([&](reader_status &status) {
        status.peerFailures += reply ? 0 : 1;
        if (reply) {
            status.lastPeer = m_clock.now();
        }
    });
    m_planner.onPeer(query.peer.id, peerResult, position(), m_clock.now());
}

void reader_session::report(const changes_outcome &outcome)
{
    updateStatus([&](reader_status &status) {
        status.malformedTickets += outcome.malformed.size();
    });
    if (m_callbacks.onMalformed) {
        for (const auto &refused : outcome.malformed) {
            m_callbacks.onMalformed(refused.text, refused.faults);
        }
    }
    if (outcome.applied > 0 && m_callbacks.onTickets) {
        m_callbacks.onTickets();
    }
}

void reader_session::updateStatus(const std::function<void(reader_status &)> &change)
{
    const std::lock_guard lock(m_statusMutex);
    change(m_status);
}

} // namespace medlarrack::config_sync::detail
