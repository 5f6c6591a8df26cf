#pragma once

#include <cstddef>
#include <memory>
#include <mutex>
#include <vector>

namespace medlarrack::entry {

class request_run;

/// Finds the requests in progress when the entry ends. Thread-safe.
class run_table
{
public:
    /// Adds a run that has begun; one that comes after endAll() is ended at once.
    void add(const std::shared_ptr<request_run> &run);
    /// Ends all runs, each with a response that says what is known of it.
    void endAll();

private:
    std::mutex m_mutex;
    std::vector<std::weak_ptr<request_run>> m_runs;
    /// Number of entries at which those of ended runs are removed.
    std::size_t m_pruneAt = 0;
    bool m_ended = false;
};

} // namespace medlarrack::entry
