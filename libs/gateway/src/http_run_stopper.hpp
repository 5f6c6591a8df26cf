#pragma once

#include "run_stopper.hpp"

#include <medlarrack/gateway/caller_format.hpp>
#include <medlarrack/http1/call_client.hpp>

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace medlarrack::gateway {

/// Asks replicas over HTTP, with calls of the users' format.
class http_run_stopper final : public run_stopper
{
public:
    /// Context and format must outlive the stopper.
    http_run_stopper(asio::io_context &context, const caller_format &format);
    ~http_run_stopper() override;

    void stop(const replica &at, std::string_view requestId, const replica &successor, answer_handler handler) override;

private:
    using answer = std::optional<http1::call_answer>;

    /// Makes one call on a connection of its own, which the call owns.
    void call(const asio::ip::tcp::endpoint &server, std::string_view method, const stop_call &request,
              std::function<void(const answer &)> done);

    asio::io_context &m_context;
    const caller_format &m_format;
    std::map<std::uint64_t, std::shared_ptr<http1::call_client>> m_calls;
    std::uint64_t m_lastCall = 0;
};

} // namespace medlarrack::gateway
