#include "run_table.hpp"

#include "request_run.hpp"

#include <algorithm>
#include <utility>

namespace medlarrack::entry {

namespace {

constexpr std::size_t minPruneAt = 64;

} // namespace

void run_table::add(const std::shared_ptr<request_run> &run)
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_ended) {
            if (m_runs.size() >= m_pruneAt) {
                std::erase_if(m_runs, [](const auto &one) {
                    return one.expired();
                });
                m_pruneAt = std::max(minPruneAt, 2 * m_runs.size());
            }
            m_runs.push_back(run);
            return;
        }
    }
    run->onStop();
}

void run_table::endAll()
{
    std::vector<std::weak_ptr<request_run>> runs;
    {
        const std::lock_guard lock(m_mutex);
        m_ended = true;
        runs.swap(m_runs);
    }
    for (const auto &one : runs) {
        if (const auto run = one.lock()) {
            run->onStop();
        }
    }
}

} // namespace medlarrack::entry
