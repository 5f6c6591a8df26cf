#pragma once

#include "call.hpp"
#include "error_response.hpp"

#include <medlarrack/entry/entry_settings.hpp>
#include <medlarrack/tickets/state.hpp>

#include <optional>
#include <string_view>

namespace medlarrack::entry {

/// Parses callers' HTTP requests into calls and resolves their adapters and services in the current ticket state.
class call_parser
{
public:
    call_parser(const request_settings &settings, const tickets::state &tickets, const core::clock &clock);

    /// Parses an operator's completion request. Returns no value with the error filled in if it is invalid.
    [[nodiscard]] std::optional<call> completion(const http::request &request, std::string_view operatorName,
                                                 error_response &error) const;
    /// Parses a call of a service, as completion().
    [[nodiscard]] std::optional<call> serviceCall(const http::request &request, std::string_view operatorName,
                                                  error_response &error) const;

private:
    [[nodiscard]] bool readHeaders(const http::request &request, call &value, error_response &error) const;
    [[nodiscard]] bool readDeadline(const http::request &request, call &value, error_response &error) const;
    [[nodiscard]] bool resolveAdapter(std::string_view model, call &value, error_response &error) const;

    const request_settings &m_settings;
    const tickets::state &m_tickets;
    const core::clock &m_clock;
};

} // namespace medlarrack::entry
