#pragma once

#include "key_table.hpp"
#include "load_options.hpp"
#include "planned_request.hpp"
#include "request_result.hpp"

#include <medlarrack/core/clock.hpp>
#include <medlarrack/http/client.hpp>

#include <functional>

namespace medlarrack::load {

/// Sends planned requests to the entries and judges their answers.
class caller
{
public:
    /// Called once for each request, on a thread that runs the io_context.
    using result_callback = std::function<void(request_result)>;

    caller(http::client &client, const load_options &options, const core::clock &clock, key_table &keys,
           result_callback onResult);

    void send(const planned_request &request);

private:
    [[nodiscard]] http::client_request makeRequest(const planned_request &request, const std::string &key) const;

    http::client &m_client;
    const load_options &m_options;
    const core::clock &m_clock;
    key_table &m_keys;
    result_callback m_onResult;
};

} // namespace medlarrack::load
