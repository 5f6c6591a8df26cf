#pragma once

#include <medlarrack/engine/target_driver.hpp>
#include <medlarrack/http/client.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <string_view>
#include <unordered_map>

namespace medlarrack::engine::detail {

/// The exchanges in progress of a driver by their call's identity. Thread-safe; its mutex is a leaf in the lock order
/// and not held across calls of the client.
class http_calls : public std::enable_shared_from_this<http_calls>
{
public:
    explicit http_calls(http::client &client);

    void start(target_driver::call_id id, http::client_request request, http::client_callbacks callbacks);
    /// Breaks an exchange off; does nothing when it has ended.
    void cancel(target_driver::call_id id);
    [[nodiscard]] bool contains(target_driver::call_id id) const;

private:
    struct entry
    {
        http::client::call_id exchange = 0;
        bool started = false;
        bool cancelled = false;
    };

    void onStarted(target_driver::call_id id, http::client::call_id exchange);
    void forget(target_driver::call_id id);

    http::client &m_client;
    mutable std::mutex m_mutex;
    std::unordered_map<target_driver::call_id, entry> m_entries;
};

/// Headers of a target's answer that are passed on to the caller: those of the content, not of the connection.
[[nodiscard]] http::header_list contentHeaders(const http::header_list &headers);

/// What a broken-off exchange proves.
[[nodiscard]] call_result brokenResult(const http::client_result &result);

} // namespace medlarrack::engine::detail
