#pragma once

#include <medlarrack/http/responder.hpp>
#include <medlarrack/metrics/registry.hpp>
#include <medlarrack/sidecar/dispatcher.hpp>
#include <medlarrack/sidecar/request_journal.hpp>

#include <functional>
#include <memory>
#include <string>

namespace medlarrack::sidecar::detail {

/// Pages of the admin port: /metrics, /healthz, /readyz, /debug/state and /debug/requests/<id>. Thread-safe.
class admin_pages
{
public:
    /// Registry and journal must outlive the pages. `state` returns the content of /debug/state as JSON.
    admin_pages(const metrics::registry &metrics, const request_journal &journal, std::function<bool()> ready,
                std::function<std::string()> state);

    void handle(const http::request &request, http::responder &answer) const;

private:
    void explain(std::string_view requestId, http::responder &answer) const;

    const metrics::registry &m_metrics;
    const request_journal &m_journal;
    std::function<bool()> m_ready;
    std::function<std::string()> m_state;
};

} // namespace medlarrack::sidecar::detail
