#include <medlarrack/metrics/registry.hpp>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <mutex>
#include <set>

namespace medlarrack::metrics {

namespace {

const prometheus::Histogram::BucketBoundaries secondsBuckets = {
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.038, 0.05, 0.1, 0.2, 0.46, 1, 2, 5, 10, 30, 60};

constexpr std::string_view overflowOperator = "other";

} // namespace

class registry::impl
{
public:
    explicit impl(std::size_t maxOperators)
        : m_maxOperators(maxOperators)
    {
    }

    template<typename Family, typename Builder>
    Family &family(std::map<std::string, Family *, std::less<>> &known, std::string_view name, std::string_view help,
                   Builder builder)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = known.find(name);
        if (found != known.end()) {
            return *found->second;
        }
        Family &made = builder().Name(std::string(name)).Help(std::string(help)).Register(m_registry);
        known.emplace(name, &made);
        return made;
    }

    prometheus::Labels series(const labels &where)
    {
        prometheus::Labels named;
        if (!where.requestClass.empty()) {
            named.emplace("class", where.requestClass);
        }
        if (!where.operatorName.empty()) {
            named.emplace("operator", boundedOperator(where.operatorName));
        }
        if (!where.code.empty()) {
            named.emplace("code", where.code);
        }
        if (!where.service.empty()) {
            named.emplace("service", where.service);
        }
        return named;
    }

    // Takes m_mutex; a leaf in the lock order.
    std::string boundedOperator(const std::string &name)
    {
        const std::lock_guard lock(m_mutex);
        if (m_operators.contains(name)) {
            return name;
        }
        if (m_operators.size() >= m_maxOperators) {
            return std::string(overflowOperator);
        }
        m_operators.insert(name);
        return name;
    }

    const std::size_t m_maxOperators;
    prometheus::Registry m_registry;
    std::mutex m_mutex;
    std::set<std::string> m_operators;
    std::map<std::string, prometheus::Family<prometheus::Counter> *, std::less<>> m_counters;
    std::map<std::string, prometheus::Family<prometheus::Gauge> *, std::less<>> m_gauges;
    std::map<std::string, prometheus::Family<prometheus::Histogram> *, std::less<>> m_histograms;
};

registry::registry(std::size_t maxOperators)
    : m_impl(std::make_unique<impl>(maxOperators))
{
}

registry::~registry() = default;

void registry::count(std::string_view name, std::string_view help, const labels &where, double by)
{
    m_impl->family(m_impl->m_counters, name, help, prometheus::BuildCounter).Add(m_impl->series(where)).Increment(by);
}

void registry::gauge(std::string_view name, std::string_view help, const labels &where, double value)
{
    m_impl->family(m_impl->m_gauges, name, help, prometheus::BuildGauge).Add(m_impl->series(where)).Set(value);
}

void registry::observeSeconds(std::string_view name, std::string_view help, const labels &where, double seconds)
{
    m_impl->family(m_impl->m_histograms, name, help, prometheus::BuildHistogram)
        .Add(m_impl->series(where), secondsBuckets)
        .Observe(seconds);
}

std::string registry::text() const
{
    return prometheus::TextSerializer().Serialize(m_impl->m_registry.Collect());
}

} // namespace medlarrack::metrics
