#pragma once

#include "admission.hpp"
#include "retry_budget.hpp"
#include "run_environment.hpp"
#include "run_metrics.hpp"
#include "shared_suspects.hpp"
#include "target_directory.hpp"

#include <medlarrack/entry/entry_service.hpp>
#include <medlarrack/metrics/registry.hpp>
#include <medlarrack/trace/recorder.hpp>

#include <memory>

namespace medlarrack::entry {

/// Owns the tables of an entry. Shared by the entry and each request in progress.
class shared_tables
{
public:
    shared_tables(entry_settings entrySettings, const entry_dependencies &dependencies);
    shared_tables(const shared_tables &) = delete;
    shared_tables &operator=(const shared_tables &) = delete;

    /// Returns the environment of a request, which keeps the tables alive.
    [[nodiscard]] static std::shared_ptr<const run_environment>
    environment(const std::shared_ptr<const shared_tables> &tables);

    const entry_settings settings;
    trace::recorder trace;
    metrics::registry registry;
    run_metrics metrics;
    target_directory targets;
    shared_suspects suspects;
    retry_budget retries;
    entry::admission admission;

private:
    const run_environment m_environment;
};

} // namespace medlarrack::entry
