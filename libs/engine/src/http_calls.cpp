#include "http_calls.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

namespace medlarrack::engine::detail {
namespace {

constexpr std::array<std::string_view, 8> connectionHeaders = {
    "connection", "content-length", "date", "keep-alive", "server", "te", "transfer-encoding", "upgrade"};

bool equalIgnoringCase(std::string_view left, std::string_view right)
{
    const auto sameLetter = [](unsigned char a, unsigned char b) {
        return std::tolower(a) == std::tolower(b);
    };
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), sameLetter);
}

bool isConnectionHeader(std::string_view name)
{
    const auto same = [name](std::string_view known) {
        return equalIgnoringCase(name, known);
    };
    return std::any_of(connectionHeaders.begin(), connectionHeaders.end(), same);
}

} // namespace

http_calls::http_calls(http::client &client)
    : m_client(client)
{
}

void http_calls::start(target_driver::call_id id, http::client_request request, http::client_callbacks callbacks)
{
    {
        const std::scoped_lock lock(m_mutex);
        m_entries.emplace(id, entry{});
    }
    callbacks.onEnd = [self = shared_from_this(), id, onEnd = std::move(callbacks.onEnd)](const auto &result) {
        self->forget(id);
        onEnd(result);
    };
    onStarted(id, m_client.start(std::move(request), std::move(callbacks)));
}

void http_calls::cancel(target_driver::call_id id)
{
    http::client::call_id exchange = 0;
    {
        const std::scoped_lock lock(m_mutex);
        const auto found = m_entries.find(id);
        if (found == m_entries.end()) {
            return;
        }
        found->second.cancelled = true;
        if (!found->second.started) {
            return;
        }
        exchange = found->second.exchange;
    }
    m_client.cancel(exchange);
}

bool http_calls::contains(target_driver::call_id id) const
{
    const std::scoped_lock lock(m_mutex);
    return m_entries.contains(id);
}

void http_calls::onStarted(target_driver::call_id id, http::client::call_id exchange)
{
    {
        const std::scoped_lock lock(m_mutex);
        const auto found = m_entries.find(id);
        if (found == m_entries.end()) {
            return;
        }
        found->second.exchange = exchange;
        found->second.started = true;
        if (!found->second.cancelled) {
            return;
        }
    }
    m_client.cancel(exchange);
}

void http_calls::forget(target_driver::call_id id)
{
    const std::scoped_lock lock(m_mutex);
    m_entries.erase(id);
}

http::header_list contentHeaders(const http::header_list &headers)
{
    http::header_list kept;
    std::copy_if(headers.begin(), headers.end(), std::back_inserter(kept), [](const auto &header) {
        return !isConnectionHeader(header.first);
    });
    return kept;
}

call_result brokenResult(const http::client_result &result)
{
    call_result broken;
    broken.why = {result.errorCode, result.errorMessage};
    if (result.progress == http::client_progress::not_sent) {
        broken.end = call_end::not_sent;
    } else {
        broken.end = result.errorCode == "cancelled" ? call_end::cancelled : call_end::broken;
    }
    return broken;
}

} // namespace medlarrack::engine::detail
