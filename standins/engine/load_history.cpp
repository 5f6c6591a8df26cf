#include "load_history.hpp"

#include <cstddef>

namespace medlarrack::standins {

namespace {

constexpr std::size_t maxReports = 2048;

} // namespace

void load_history::add(std::string report, core::monotonic_time now)
{
    m_reports.emplace_back(now, std::move(report));
    if (m_reports.size() > maxReports) {
        m_reports.pop_front();
    }
}

std::string load_history::show(std::chrono::milliseconds lag, core::monotonic_time now) const
{
    std::string shown = m_reports.empty() ? std::string() : m_reports.front().second;
    for (auto report = m_reports.rbegin(); report != m_reports.rend(); ++report) {
        if (report->first <= now - lag) {
            return report->second;
        }
    }
    return shown;
}

} // namespace medlarrack::standins
