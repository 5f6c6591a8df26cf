#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace medlarrack::metrics {

/// Labels of a series, rendered in this order.
struct labels
{
    /// Priority class, or empty.
    std::string requestClass;
    /// Operator, or empty. Beyond the registry's bound operators are counted under "other".
    std::string operatorName;
    /// Outcome or code, or empty.
    std::string code;
    /// Service of the published state, or empty.
    std::string service;
};

/// The metrics of one process, kept by prometheus-cpp. Thread-safe. A series appears at its first use.
class registry
{
public:
    /// At most this many operators get series of their own.
    explicit registry(std::size_t maxOperators = 200);
    ~registry();
    registry(const registry &) = delete;
    registry &operator=(const registry &) = delete;

    void count(std::string_view name, std::string_view help, const labels &where, double by = 1);
    void gauge(std::string_view name, std::string_view help, const labels &where, double value);
    /// Histogram of seconds with buckets from 0.5 ms to 60 s.
    void observeSeconds(std::string_view name, std::string_view help, const labels &where, double seconds);

    /// The text exposition format of /metrics.
    [[nodiscard]] std::string text() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace medlarrack::metrics
