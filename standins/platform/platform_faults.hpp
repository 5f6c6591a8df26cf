#pragma once

#include "common/control_table.hpp"
#include "weight_store.hpp"

namespace medlarrack::standins {

/// What POST /control sets.
struct platform_faults
{
    bool changesOutage = false;
    bool instancesOutage = false;
    bool storeOutage = false;
    /// Largest ticket that is shown; below zero all are.
    int staleAt = -1;
    int instancesLagMs = 0;
    double callsPerS = 2000;
    int failLoads = 0;
    int truncateChanges = 0;
    store_limits store;

    void addTo(control_table &table)
    {
        table.add("changes_outage", changesOutage, "/v1/changes answers 503");
        table.add("instances_outage", instancesOutage, "/v1/instances answers 503");
        table.add("store_outage", storeOutage, "/v1/store answers 503");
        table.add("stale_at", staleAt, "/v1/changes shows no ticket above this number; -1 for all");
        table.add("instances_lag_ms", instancesLagMs, "/v1/instances shows the list as it was this long ago");
        table.add("calls_per_s", callsPerS, "rate of /v1/changes and /v1/instances together; above it 429; 0 for none");
        table.add("fail_loads", failLoads, "the next n loads answer 500 after their time");
        table.add("truncate_changes", truncateChanges, "the next n answers of /v1/changes are cut in the middle");
        table.add("store_loads_per_s", store.loadsPerS, "rate of the store; above it 429; 0 for none");
        table.add("store_loads_at_once", store.loadsAtOnce, "loads at full speed; more are proportionally slower");
        table.add("store_transit", store.transit, "loads in transit; more are proportionally slower");
        table.add("store_load_ms", store.loadMs, "time of one load at full speed");
    }
};

} // namespace medlarrack::standins
