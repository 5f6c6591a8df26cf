#include "summary.hpp"

#include <algorithm>
#include <iterator>
#include <numeric>

namespace medlarrack::load {

namespace {

std::size_t indexOf(result_kind kind)
{
    const auto found = std::find(allResultKinds.begin(), allResultKinds.end(), kind);
    return static_cast<std::size_t>(found - allResultKinds.begin());
}

double toMs(std::chrono::microseconds value)
{
    constexpr double microsecondsPerMs = 1000;
    return static_cast<double>(value.count()) / microsecondsPerMs;
}

std::string classOf(const planned_request &request)
{
    return request.kind == request_kind::service_call ? "service" : std::string(core::toString(request.priority));
}

std::string describe(const request_result &result)
{
    const planned_request &request = result.request;
    const std::string what = request.kind == request_kind::service_call
        ? request.method + " /services/" + request.service + request.path
        : request.model;
    return what + ", request " + (result.requestId.empty() ? "without id" : result.requestId) + ", status "
        + std::to_string(result.status) + ", code '" + result.code + "'";
}

} // namespace

std::uint64_t class_summary::total() const
{
    return std::accumulate(results.begin(), results.end(), std::uint64_t{0});
}

std::uint64_t class_summary::of(result_kind kind) const
{
    return results[indexOf(kind)];
}

summary::summary(bool allowCutOff)
    : m_allowCutOff(allowCutOff)
{
}

void summary::add(const request_result &result)
{
    class_summary &figures = m_classes[classOf(result.request)];
    ++figures.results[indexOf(result.kind)];
    if (result.kind == result_kind::answered || result.kind == result_kind::late) {
        figures.latency.add(toMs(result.latency));
        figures.tokens += result.tokens;
        if (result.firstToken) {
            figures.firstToken.add(toMs(*result.firstToken));
        }
        if (result.loadStall) {
            figures.loadStall.add(static_cast<double>(result.loadStall->count()));
        }
    }
    if (!result.code.empty()) {
        ++m_codes[result.code];
    }
    m_ledger.add(result);
    judge(result);
}

void summary::judge(const request_result &result)
{
    if (result.kind == result_kind::wrong) {
        m_broken.push_back({std::string(toString(result.answer)), describe(result)});
    } else if (result.kind == result_kind::bad_error) {
        m_broken.push_back({"error_without_outcome", describe(result)});
    } else if (result.kind == result_kind::cut_off && !m_allowCutOff) {
        m_broken.push_back({"cut_off", describe(result)});
    }
    const auto &expected = result.request.expected;
    if (!expected.empty() && std::find(expected.begin(), expected.end(), result.outcome) == expected.end()) {
        m_broken.push_back(
            {"unexpected_outcome", std::string(core::toString(result.outcome)) + ": " + describe(result)});
    }
}

void summary::addBroken(std::vector<broken_promise> broken)
{
    std::move(broken.begin(), broken.end(), std::back_inserter(m_broken));
}

const std::map<std::string, class_summary> &summary::classes() const
{
    return m_classes;
}

const std::map<std::string, std::uint64_t> &summary::codes() const
{
    return m_codes;
}

const std::vector<broken_promise> &summary::broken() const
{
    return m_broken;
}

const run_ledger &summary::ledger() const
{
    return m_ledger;
}

std::uint64_t summary::answered() const
{
    std::uint64_t count = 0;
    for (const auto &[name, figures] : m_classes) {
        count += figures.of(result_kind::answered) + figures.of(result_kind::late);
    }
    return count;
}

} // namespace medlarrack::load
