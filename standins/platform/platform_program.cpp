#include "platform_program.hpp"

#include "common/json_reply.hpp"

#include <asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <string_view>
#include <utility>

namespace medlarrack::standins {

namespace {

constexpr std::string_view storePath = "/v1/store/";
constexpr std::chrono::milliseconds maxWait{60'000};

} // namespace

/// A watch of /v1/changes.
struct platform_program::waiter
{
    long long after;
    std::shared_ptr<http::responder> answer;
    asio::steady_timer timer;
};

platform_program::platform_program(asio::io_context &context, platform_faults &faults)
    : m_context(context)
    , m_faults(faults)
{
}

bool platform_program::publish(const std::string &ticketText)
{
    const auto ticket = parseObject(ticketText);
    return ticket && publishTicket(*ticket);
}

bool platform_program::publishAll(const std::string &text)
{
    const auto parsed = nlohmann::json::parse(text, nullptr, false);
    if (!parsed.is_array()) {
        return publish(text);
    }
    return std::all_of(parsed.begin(), parsed.end(), [this](const nlohmann::json &ticket) {
        return publishTicket(ticket);
    });
}

bool platform_program::publishTicket(const nlohmann::json &ticket)
{
    if (!m_log.publish(ticket)) {
        return false;
    }
    const long long number = *change_log::numberOf(ticket);
    const auto adapters = ticket.find("adapters");
    if (adapters != ticket.end() && adapters->is_object()) {
        for (const auto &[name, state] : adapters->items()) {
            long long &newest = m_adapterTickets[name];
            if (number >= newest) {
                newest = number;
                m_adapters[name] = state;
            }
        }
    }
    wakeWaiters();
    return true;
}

bool platform_program::replaceInstances(const std::string &listText)
{
    const auto list = parseObject(listText);
    return list && list->contains("instances") && m_instances.replace(list->at("instances"), m_clock.now());
}

void platform_program::handle(const http::request &request, std::shared_ptr<http::responder> answer)
{
    const auto path = request.path();
    const bool get = request.method == "GET";
    if (get && path == "/v1/changes") {
        changes(request, std::move(answer));
    } else if (get && path == "/v1/instances") {
        instances(*answer);
    } else if (get && path.starts_with(storePath)) {
        load(request, std::move(answer));
    } else if (get && path == "/admin/calls") {
        calls(*answer);
    } else if (request.method == "POST" && path == "/admin/tickets") {
        addTicket(request, *answer);
    } else if (request.method == "POST" && path == "/admin/instances") {
        setInstances(request, *answer);
    } else {
        replyError(*answer, 404, "unknown_call", "no such call");
    }
}

bool platform_program::admit(const std::string &kind, bool outage, http::responder &answer)
{
    ++m_calls[kind];
    if (outage) {
        ++m_calls["refused_outage"];
        replyError(answer, 503, "outage", "the service is down");
        return false;
    }
    m_callRate.setRate(m_faults.callsPerS);
    if (!m_callRate.take(m_clock.now())) {
        ++m_calls["refused_rate"];
        replyError(answer, 429, "too_many_calls", "the call rate is exceeded");
        return false;
    }
    return true;
}

long long platform_program::shownNewest() const
{
    return m_faults.staleAt < 0 ? m_log.newest() : std::min<long long>(m_faults.staleAt, m_log.newest());
}

void platform_program::changes(const http::request &request, std::shared_ptr<http::responder> answer)
{
    if (!admit("changes", m_faults.changesOutage, *answer)) {
        return;
    }
    const auto after = integerQuery(request, "after").value_or(0);
    const auto wait = std::min(maxWait, std::chrono::milliseconds(integerQuery(request, "wait_ms").value_or(0)));
    if (wait.count() <= 0 || shownNewest() > after) {
        sendChanges(after, *answer);
        return;
    }
    auto waiting = std::make_shared<waiter>(waiter{after, std::move(answer), asio::steady_timer(m_context, wait)});
    m_waiters.push_back(waiting);
    waiting->answer->onClosed([this, weak = std::weak_ptr(waiting)] {
        if (const auto gone = weak.lock()) {
            m_waiters.remove(gone);
        }
    });
    waiting->timer.async_wait([this, weak = std::weak_ptr(waiting)](const asio::error_code &error) {
        const auto due = weak.lock();
        if (!error && due) {
            m_waiters.remove(due);
            sendChanges(due->after, *due->answer);
        }
    });
}

void platform_program::wakeWaiters()
{
    // An outage also hits those who wait: their watch runs out without news.
    if (m_faults.changesOutage) {
        return;
    }
    const auto waiting = std::exchange(m_waiters, {});
    for (const auto &each : waiting) {
        if (shownNewest() > each->after) {
            each->timer.cancel();
            sendChanges(each->after, *each->answer);
        } else {
            m_waiters.push_back(each);
        }
    }
}

void platform_program::sendChanges(long long after, http::responder &answer)
{
    if (m_faults.changesOutage) {
        replyError(answer, 503, "outage", "the service is down");
        return;
    }
    const auto shown = m_log.after(after, shownNewest());
    if (m_faults.truncateChanges > 0) {
        --m_faults.truncateChanges;
        const std::string text = shown.dump();
        answer.begin(200, {{"Content-Type", "application/json"}});
        answer.write(std::string_view(text).substr(0, text.size() / 2));
        answer.abort();
        return;
    }
    reply(answer, 200, shown);
}

void platform_program::instances(http::responder &answer)
{
    if (admit("instances", m_faults.instancesOutage, answer)) {
        const std::chrono::milliseconds lag(m_faults.instancesLagMs);
        reply(answer, 200, m_instances.show(lag, m_clock.now(), m_clock.wallNow()));
    }
}

bool platform_program::known(const std::string &adapterVersion) const
{
    const auto at = adapterVersion.rfind('@');
    if (at == std::string::npos) {
        return false;
    }
    const auto found = m_adapters.find(adapterVersion.substr(0, at));
    if (found == m_adapters.end() || !found->second.is_object()) {
        return false;
    }
    const auto versions = found->second.find("versions");
    return versions != found->second.end() && versions->contains(adapterVersion.substr(at + 1));
}

void platform_program::load(const http::request &request, std::shared_ptr<http::responder> answer)
{
    ++m_calls["store"];
    const std::string name(request.path().substr(storePath.size()));
    if (m_faults.storeOutage) {
        replyError(*answer, 503, "outage", "the store is down");
        return;
    }
    if (!known(name)) {
        replyError(*answer, 404, "unknown_adapter", "the store has no such adapter version");
        return;
    }
    std::chrono::milliseconds time{0};
    if (m_store.start(m_faults.store, m_clock.now(), time) == weight_store::verdict::refused) {
        ++m_calls["store_refused"];
        replyError(*answer, 429, "store_busy", "the store's rate is exceeded");
        return;
    }
    const bool fails = m_faults.failLoads > 0 && m_faults.failLoads-- > 0;
    auto timer = std::make_shared<asio::steady_timer>(m_context, time);
    timer->async_wait([this, timer, name, fails, answer = std::move(answer)](const asio::error_code &) {
        m_store.finish();
        if (fails) {
            replyError(*answer, 500, "load_failed", "the load failed");
        } else {
            reply(*answer, 200, {{"weights", name}});
        }
    });
}

void platform_program::calls(http::responder &answer) const
{
    nlohmann::json counted(m_calls);
    if (counted.is_null()) {
        counted = nlohmann::json::object();
    }
    counted["waiting"] = m_waiters.size();
    counted["store_in_transit"] = m_store.inTransit();
    counted["store_most_in_transit"] = m_store.mostInTransit();
    reply(answer, 200, counted);
}

void platform_program::addTicket(const http::request &request, http::responder &answer)
{
    if (publish(request.body)) {
        reply(answer, 200, {{"newest", m_log.newest()}});
    } else {
        replyError(answer, 400, "bad_ticket", "a JSON object with a new number under \"ticket\" is expected");
    }
}

void platform_program::setInstances(const http::request &request, http::responder &answer)
{
    if (replaceInstances(request.body)) {
        reply(answer, 200, nlohmann::json::object());
    } else {
        replyError(answer, 400, "bad_list", "{\"instances\": [..]} is expected");
    }
}

} // namespace medlarrack::standins
