#include "store_reader.hpp"

#include <medlarrack/gateway/poll_schedule.hpp>
#include <medlarrack/log/log.hpp>

#include <algorithm>
#include <utility>

namespace medlarrack::gateway {

namespace {

/// How long the store may hold a question for changes. Replicas write more often than this.
constexpr std::chrono::milliseconds changesWait{300};
/// Beyond the wait; the store answers in some milliseconds, and in some hundred on bad days.
constexpr std::chrono::milliseconds answerTime{900};
/// Pause after a call that failed.
constexpr std::chrono::milliseconds retryPause{300};
/// Without a good answer for this long the store counts as having been away: entries lapse after some seconds.
constexpr std::chrono::milliseconds outageAfter{1'600};
/// The least of that beyond the usual time between answers, so that a slow pace doesn't pass for an outage.
constexpr std::chrono::milliseconds beyondPace{400};

} // namespace

class store_reader::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(asio::io_context &context, const asio::ip::tcp::endpoint &store, const catalog::store_format &storeFormat,
         const core::clock &time, std::chrono::milliseconds usualPause,
         std::function<void(const store_update &)> handler)
        : client(context, store)
        , timer(context)
        , format(storeFormat)
        , clock(time)
        , interval(usualPause)
        , onUpdate(std::move(handler))
        , lastGood(time.now())
    {
    }

    void readPage()
    {
        calledAt = clock.now();
        const bool first = page.empty();
        client.call("GET", format.pageTarget(page), "", answerTime,
                    [this, first](const std::optional<http1::call_answer> &answer, core::reason why) {
                        takePage(first, answer, std::move(why));
                    });
    }

    void takePage(bool first, const std::optional<http1::call_answer> &answer, core::reason why)
    {
        auto read = readBody(answer, why, &catalog::store_format::readPage);
        if (!read) {
            page.clear();
            failed(why);
            return;
        }
        if (first) {
            // Later pages are newer than the first; what changed meanwhile is asked for again.
            revision = read->revision;
            listed.clear();
        }
        for (const catalog::store_change &change : read->changes) {
            if (const auto *record = std::get_if<catalog::replica_record>(&change)) {
                listed.push_back(record->id);
            } else if (const auto *bad = std::get_if<catalog::unreadable_record>(&change)) {
                // Its replica, if it is one, holds on as it was.
                listed.push_back(bad->key.substr(bad->key.find('/') + 1));
            }
        }
        succeeded();
        store_update update{read->changes, std::nullopt, revision, catchingUp};
        if (read->nextPage) {
            page = *read->nextPage;
            onUpdate(update);
            readPage();
            return;
        }
        page.clear();
        update.allReplicas = listed;
        whole = true;
        catchingUp = false;
        onUpdate(update);
        schedule(interval);
    }

    void readChanges()
    {
        calledAt = clock.now();
        client.call("GET", format.changesTarget(revision, changesWait), "", changesWait + answerTime,
                    [this](const std::optional<http1::call_answer> &answer, const core::reason &why) {
                        takeChanges(answer, why);
                    });
    }

    void takeChanges(const std::optional<http1::call_answer> &answer, core::reason why)
    {
        constexpr int historyGone = 410;
        if (answer && answer->status == historyGone) {
            log::write(log::level::info, "store forgot its history", {{"revision", revision}});
            whole = false;
            readPage();
            return;
        }
        auto read = readBody(answer, why, &catalog::store_format::readChanges);
        if (!read) {
            failed(why);
            return;
        }
        succeeded();
        revision = std::max(revision, read->revision);
        onUpdate({read->changes, std::nullopt, revision, std::exchange(catchingUp, false)});
        schedule(interval);
    }

    using body_reader = std::optional<catalog::store_answer> (catalog::store_format::*)(std::string_view,
                                                                                        core::reason &) const;

    std::optional<catalog::store_answer> readBody(const std::optional<http1::call_answer> &answer, core::reason &why,
                                                  body_reader read) const
    {
        constexpr int ok = 200;
        if (!answer) {
            return std::nullopt;
        }
        if (answer->status != ok) {
            why = {"store_status", "the store answered " + std::to_string(answer->status)};
            return std::nullopt;
        }
        return (format.*read)(answer->body, why);
    }

    void succeeded()
    {
        const core::monotonic_time now = clock.now();
        if (now - lastGood >= std::max(outageAfter, interval + beyondPace)) {
            catchingUp = true;
        }
        if (reachable != true) {
            reachable = true;
            log::write(log::level::info, "store regained", {{"revision", revision}});
        }
        lastGood = now;
    }

    void failed(const core::reason &why)
    {
        if (reachable != false) {
            reachable = false;
            log::write(log::level::warning, "store lost",
                       {{"code", why.code}, {"why", why.message}, {"revision", revision}});
        }
        schedule(retryPause);
    }

    void refreshSoon()
    {
        if (pollSchedule.isExpedited()) {
            return;
        }
        pollSchedule.expedite();
        // While a call is under way its end schedules the next one; one that failed is soon made again anyway.
        if (isScheduled && reachable == true) {
            schedule(interval);
        }
    }

    void schedule(std::chrono::milliseconds usual)
    {
        const auto spent = clock.now() - calledAt;
        isScheduled = true;
        timer.expires_after(std::max<std::chrono::nanoseconds>(std::chrono::nanoseconds(0),
                                                               pollSchedule.nextDelay(usual, clock.now()) - spent));
        timer.async_wait([weak = weak_from_this()](const std::error_code &error) {
            const auto self = weak.lock();
            if (error || self == nullptr) {
                return;
            }
            self->isScheduled = false;
            self->pollSchedule.onPollStarted();
            if (self->whole) {
                self->readChanges();
            } else {
                self->readPage();
            }
        });
    }

    http1::call_client client;
    asio::steady_timer timer;
    const catalog::store_format &format;
    const core::clock &clock;
    std::chrono::milliseconds interval;
    std::function<void(const store_update &)> onUpdate;
    std::string page;
    std::vector<std::string> listed;
    std::uint64_t revision = 0;
    core::monotonic_time calledAt{};
    core::monotonic_time lastGood;
    /// The next news tells what happened while the store was away.
    bool catchingUp = false;
    bool whole = false;
    /// The next call is due at the timer.
    bool isScheduled = false;
    poll_schedule pollSchedule;
    /// Nothing before the first call has ended.
    std::optional<bool> reachable;
};

store_reader::store_reader(asio::io_context &context, const asio::ip::tcp::endpoint &store,
                           const catalog::store_format &format, const core::clock &clock,
                           std::chrono::milliseconds interval, std::function<void(const store_update &)> onUpdate)
    : m_impl(std::make_shared<impl>(context, store, format, clock, interval, std::move(onUpdate)))
{
}

store_reader::~store_reader()
{
    m_impl->timer.cancel();
}

void store_reader::start()
{
    m_impl->readPage();
}

void store_reader::refreshSoon()
{
    m_impl->refreshSoon();
}

std::chrono::nanoseconds store_reader::age() const
{
    return m_impl->clock.now() - m_impl->lastGood;
}

std::uint64_t store_reader::revision() const
{
    return m_impl->revision;
}

} // namespace medlarrack::gateway
