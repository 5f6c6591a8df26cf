#include "store_reader.hpp"

#include <medlarrack/gateway/poll_schedule.hpp>
#include <medlarrack/gateway/store_era.hpp>
#include <medlarrack/log/log.hpp>

#include <algorithm>
#include <utility>

namespace medlarrack::gateway {

namespace {

/// Time that the store may hold a request for changes until there are some. Replicas write more often than this.
constexpr std::chrono::milliseconds longPollTime{300};
/// The same for a request that only finds out whether the store answers.
constexpr std::chrono::milliseconds shortestWait{1};
/// Time without a byte of a response, on top of the time that the store may hold it. The store usually takes a few
/// milliseconds to respond, at times some hundreds.
constexpr std::chrono::milliseconds responseTimeout{900};
/// A response with a large state takes seconds on a slow link that it shares with the traffic of callers.
constexpr std::uint32_t minResponseBytesPerSecond = 65'536;
/// Delay after a failed call.
constexpr std::chrono::milliseconds retryDelay{300};
/// Time without a successful call that counts as an outage: entries in the store expire after some seconds.
constexpr std::chrono::milliseconds outageThreshold{1'600};
constexpr int statusOk = 200;
/// An outage also exceeds the poll interval by at least this, so that a long interval does not count as one.
constexpr std::chrono::milliseconds outageMargin{400};

http1::answer_limits responseLimits(std::chrono::milliseconds wait)
{
    return {wait + responseTimeout, responseTimeout, minResponseBytesPerSecond};
}

} // namespace

class store_reader::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(asio::io_context &context, const asio::ip::tcp::endpoint &store, const catalog::store_format &storeFormat,
         const core::clock &time, std::chrono::milliseconds pollInterval, std::size_t maxAnswerBytes,
         std::function<void(const store_update &)> handler)
        : client(context, store, maxAnswerBytes)
        , timer(context)
        , format(storeFormat)
        , clock(time)
        , interval(pollInterval)
        , onUpdate(std::move(handler))
        , lastSuccessAt(time.now())
    {
    }

    void requestPage()
    {
        lastCallAt = clock.now();
        const bool isFirstPage = pageToken.empty();
        client.call("GET", format.pageTarget(pageToken), "", responseLimits(std::chrono::milliseconds(0)),
                    [this, isFirstPage](const std::optional<http1::call_answer> &response, core::reason why) {
                        handlePage(isFirstPage, response, std::move(why));
                    });
    }

    void handlePage(bool isFirstPage, const std::optional<http1::call_answer> &response, core::reason why)
    {
        const store_era::verdict verdict = checkEra(response);
        if (verdict == store_era::verdict::changed) {
            pageToken.clear();
        }
        auto parsed = parseBody(response, why, &catalog::store_format::readPage);
        if (parsed && !isFirstPage && parsed->nextPage == pageToken) {
            why = {"malformed_answer", "the next page of the store starts where this one did"};
            parsed.reset();
        }
        if (!parsed || verdict == store_era::verdict::outdated) {
            pageToken.clear();
            onFailure(why);
            return;
        }
        if (verdict == store_era::verdict::changed && !isFirstPage) {
            // The pages before it are of the earlier era.
            requestPage();
            return;
        }
        if (isFirstPage) {
            // Later pages may be newer than the first. Reading changes from the first page's revision covers what
            // changed between them.
            revision = parsed->revision;
            listedReplicas.clear();
        }
        for (const catalog::store_change &change : parsed->changes) {
            if (const auto *record = std::get_if<catalog::replica_record>(&change)) {
                listedReplicas.push_back(record->id);
            }
        }
        onSuccess(*response);
        store_update update{parsed->changes, std::nullopt, revision, recoveringFromOutage || eraChanged};
        if (parsed->nextPage) {
            pageToken = *parsed->nextPage;
            onUpdate(update);
            requestPage();
            return;
        }
        pageToken.clear();
        update.allReplicas = listedReplicas;
        snapshotComplete = true;
        recoveringFromOutage = false;
        eraChanged = false;
        onUpdate(update);
        schedule(interval);
    }

    void requestChanges()
    {
        lastCallAt = clock.now();
        const std::chrono::milliseconds wait = std::exchange(waitWasCut, false) ? shortestWait : longPollTime;
        client.call("GET", format.changesTarget(revision, wait), "", responseLimits(wait),
                    [this](const std::optional<http1::call_answer> &response, const core::reason &why) {
                        handleChanges(response, why);
                    });
    }

    void handleChanges(const std::optional<http1::call_answer> &response, core::reason why)
    {
        constexpr int statusGone = 410;
        const store_era::verdict verdict = checkEra(response);
        if (verdict == store_era::verdict::outdated) {
            onFailure({"outdated_era", "the answer is of an earlier era of the store"});
            return;
        }
        if (verdict == store_era::verdict::changed && response->status == statusOk) {
            requestPage();
            return;
        }
        if (response && response->status == statusGone) {
            log::write(log::level::info, "store forgot its history", {{"revision", revision}});
            snapshotComplete = false;
            requestPage();
            return;
        }
        auto parsed = parseBody(response, why, &catalog::store_format::readChanges);
        if (parsed && parsed->revision < revision) {
            why = {"answer_to_another_call", "the store's changes end before the revision that they were asked from"};
            parsed.reset();
        }
        if (!parsed) {
            // Asking for the same changes again would fail in the same way; pages are bounded.
            if (why.code == "answer_too_long") {
                snapshotComplete = false;
            }
            // The store may cut requests that wait while it answers all others.
            waitWasCut = !response;
            onFailure(why);
            return;
        }
        onSuccess(*response);
        revision = std::max(revision, parsed->revision);
        onUpdate({parsed->changes, std::nullopt, revision, std::exchange(recoveringFromOutage, false)});
        schedule(interval);
    }

    /// Checks the era of an answer and marks all that was read as outdated if a new one has begun. Answers of any
    /// status have an era.
    store_era::verdict checkEra(const std::optional<http1::call_answer> &response)
    {
        if (!response) {
            return store_era::verdict::current;
        }
        const std::optional<std::uint64_t> known = era.value();
        const auto text = response->headerValue(format.eraHeader());
        const auto answered = text ? format.readEra(*text) : std::nullopt;
        if (!answered && known != std::nullopt && !std::exchange(missingEraLogged, true)) {
            log::write(log::level::warning, "store's answer has no valid era",
                       {{"status", response->status}, {"value", text.value_or("")}, {"era", *known}});
        }
        const store_era::verdict verdict = era.observe(answered, clock.now());
        if (verdict == store_era::verdict::changed) {
            log::write(
                log::level::warning, "store came back from a backup",
                {{"era", *answered}, {"previous_era", known.value_or(0)}, {"revision", std::exchange(revision, 0)}});
            snapshotComplete = false;
            eraChanged = true;
        } else if (verdict == store_era::verdict::outdated) {
            log::write(log::level::warning, "answer of an earlier era of the store dropped",
                       {{"era", *answered}, {"current_era", *known}, {"status", response->status}});
        }
        return verdict;
    }

    using body_parser = std::optional<catalog::store_answer> (catalog::store_format::*)(std::string_view,
                                                                                        core::reason &) const;

    std::optional<catalog::store_answer> parseBody(const std::optional<http1::call_answer> &response, core::reason &why,
                                                   body_parser parse) const
    {
        if (!response) {
            return std::nullopt;
        }
        if (response->status != statusOk) {
            why = {"store_status", "the store answered " + std::to_string(response->status)};
            return std::nullopt;
        }
        return (format.*parse)(response->body, why);
    }

    void onSuccess(const http1::call_answer &response)
    {
        const core::monotonic_time now = clock.now();
        // The store was there while its response was on the way.
        const auto silence = now - response.transferTime - lastSuccessAt;
        if (silence >= std::max(outageThreshold, interval + outageMargin)) {
            recoveringFromOutage = true;
        }
        if (reachable != true) {
            reachable = true;
            log::write(log::level::info, "store regained", {{"revision", revision}});
        }
        lastSuccessAt = now;
    }

    void onFailure(const core::reason &why)
    {
        // An answer that doesn't fit its call may be to an earlier one, and so may those behind it.
        client.disconnect();
        if (reachable != false) {
            reachable = false;
            log::write(log::level::warning, "store lost",
                       {{"code", why.code},
                        {"why", why.message},
                        {"revision", revision},
                        {"received_bytes", static_cast<std::uint64_t>(client.receivedBytes())},
                        {"call_ms", std::chrono::round<std::chrono::milliseconds>(clock.now() - lastCallAt).count()}});
        }
        schedule(retryDelay);
    }

    void refreshSoon()
    {
        if (pollSchedule.isExpedited()) {
            return;
        }
        pollSchedule.expedite();
        // A call in progress schedules the next one when it ends, and a failed one is retried soon anyway.
        if (pollScheduled && reachable == true) {
            schedule(interval);
        }
    }

    void schedule(std::chrono::milliseconds usualDelay)
    {
        const auto elapsed = clock.now() - lastCallAt;
        pollScheduled = true;
        timer.expires_after(std::max<std::chrono::nanoseconds>(
            std::chrono::nanoseconds(0), pollSchedule.nextDelay(usualDelay, clock.now()) - elapsed));
        timer.async_wait([weak = weak_from_this()](const std::error_code &error) {
            const auto self = weak.lock();
            if (error || self == nullptr) {
                return;
            }
            self->pollScheduled = false;
            self->pollSchedule.onPollStarted();
            if (self->snapshotComplete) {
                self->requestChanges();
            } else {
                self->requestPage();
            }
        });
    }

    http1::call_client client;
    asio::steady_timer timer;
    const catalog::store_format &format;
    const core::clock &clock;
    std::chrono::milliseconds interval;
    std::function<void(const store_update &)> onUpdate;
    std::string pageToken;
    std::vector<std::string> listedReplicas;
    store_era era;
    std::uint64_t revision = 0;
    core::monotonic_time lastCallAt{};
    core::monotonic_time lastSuccessAt;
    /// The next update covers the time of an outage.
    bool recoveringFromOutage = false;
    bool snapshotComplete = false;
    /// The store came back from a backup, and its content has not been read completely since.
    bool eraChanged = false;
    bool missingEraLogged = false;
    /// The last call waited for changes and had no answer.
    bool waitWasCut = false;
    /// The timer runs until the next call.
    bool pollScheduled = false;
    poll_schedule pollSchedule;
    /// Empty until the first call has ended.
    std::optional<bool> reachable;
};

store_reader::store_reader(asio::io_context &context, const asio::ip::tcp::endpoint &store,
                           const catalog::store_format &format, const core::clock &clock,
                           std::chrono::milliseconds interval, std::size_t maxAnswerBytes,
                           std::function<void(const store_update &)> onUpdate)
    : m_impl(std::make_shared<impl>(context, store, format, clock, interval, maxAnswerBytes, std::move(onUpdate)))
{
}

store_reader::~store_reader()
{
    m_impl->timer.cancel();
}

void store_reader::start()
{
    m_impl->requestPage();
}

void store_reader::refreshSoon()
{
    m_impl->refreshSoon();
}

std::chrono::nanoseconds store_reader::age() const
{
    return m_impl->clock.now() - m_impl->lastSuccessAt;
}

std::uint64_t store_reader::era() const
{
    return m_impl->era.value().value_or(0);
}

std::uint64_t store_reader::revision() const
{
    return m_impl->revision;
}

std::uint64_t store_reader::receivedBytes() const
{
    return m_impl->client.totalReceivedBytes();
}

} // namespace medlarrack::gateway
