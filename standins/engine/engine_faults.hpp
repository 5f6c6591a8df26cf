#pragma once

#include "common/control_table.hpp"

#include <string>

namespace medlarrack::standins {

/// What POST /control sets. Counts run down by one with each request or order that they apply to.
struct engine_faults
{
    std::string crashText;
    bool paused = false;
    int failRequests = 0;
    int hangRequests = 0;
    int cutAnswers = 0;
    int endEarly = 0;
    int duplicateToken = 0;
    int skipToken = 0;
    int crossedAnswers = 0;
    int failLoads = 0;
    int loadExtraMs = 0;
    int hangOrders = 0;
    int loadReportLagMs = 0;
    int cacheEventLagMs = 0;
    int cacheEventDropEvery = 0;

    void addTo(control_table &table)
    {
        table.add("crash_text", crashText,
                  "a prompt that contains this text ends the process with code 70 when it runs");
        table.add("paused", paused, "no step is made");
        table.add("fail_requests", failRequests, "the next n completions get 500 and don't run");
        table.add("hang_requests", hangRequests, "the next n completions neither run nor get an answer");
        table.add("cut_answers", cutAnswers, "the next n answers break off after half of their tokens");
        table.add("end_early", endEarly, "the next n streams send [DONE] after half of their tokens");
        table.add("duplicate_token", duplicateToken, "the next n streams repeat their middle token");
        table.add("skip_token", skipToken, "the next n streams leave their middle token out");
        table.add("crossed_answers", crossedAnswers, "the next n answers are those of another request");
        table.add("fail_loads", failLoads, "the next n loads fail after their time with 502");
        table.add("load_extra_ms", loadExtraMs, "added to the time of each load");
        table.add("hang_orders", hangOrders, "the next n orders are carried out and never answered");
        table.add("load_report_lag_ms", loadReportLagMs, "age of /load");
        table.add("cache_event_lag_ms", cacheEventLagMs, "age of the newest event of /cache_events");
        table.add("cache_event_drop_every", cacheEventDropEvery, "every n-th cache event is lost; 0 for none");
    }
};

} // namespace medlarrack::standins
