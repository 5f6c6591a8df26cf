#include "arrival_schedule.hpp"

#include <medlarrack/core/hash.hpp>

#include <cmath>

namespace medlarrack::load {

namespace {

constexpr double microsecondsPerSecond = 1e6;

} // namespace

arrival_schedule::arrival_schedule(const load_options &options)
    : m_options(options)
    , m_random(options.seed)
    , m_popularity(options.adapters, options.zipf)
{
}

std::optional<planned_request> arrival_schedule::next()
{
    const bool arrivalLeft = m_options.rate > 0 && m_nextArrival < m_options.duration;
    if (!m_resends.empty() && (!arrivalLeft || m_resends.begin()->first <= m_nextArrival)) {
        return std::move(m_resends.extract(m_resends.begin()).mapped());
    }
    if (!arrivalLeft) {
        return std::nullopt;
    }
    return makeRequest();
}

planned_request arrival_schedule::makeRequest()
{
    planned_request request;
    request.at = m_nextArrival;
    const double gap = -std::log(1.0 - uniform(m_random)) / m_options.rate;
    m_nextArrival += std::chrono::microseconds(static_cast<std::int64_t>(gap * microsecondsPerSecond));
    request.operatorName = m_options.operatorName;
    request.deadline = m_options.deadline;
    request.entry = m_count++;
    if (!m_options.service.empty() && uniform(m_random) < m_options.serviceShare) {
        fillServiceCall(request);
    } else {
        fillCompletion(request);
    }
    return request;
}

void arrival_schedule::fillCompletion(planned_request &request)
{
    request.kind = uniform(m_random) < m_options.chatShare ? request_kind::chat : request_kind::completion;
    request.priority = drawClass();
    request.model = m_options.model.empty() ? drawModel(request.at) : m_options.model;
    request.prompt = "request " + std::to_string(m_options.seed) + "-" + std::to_string(m_count);
    request.maxTokens = uniform(m_random) < m_options.longShare ? m_options.longTokens : m_options.shortTokens;
    request.stream = uniform(m_random) < m_options.streamShare;
}

void arrival_schedule::fillServiceCall(planned_request &request)
{
    request.kind = request_kind::service_call;
    request.priority = core::request_class::control;
    request.service = m_options.service;
    if (uniform(m_random) >= m_options.nonIdempotentShare) {
        request.method = "GET";
        request.path = m_options.readPath;
        return;
    }
    request.method = "POST";
    request.path = m_options.writePath;
    request.keyLabel = "call " + std::to_string(m_count);
    request.body = R"({"call": )" + std::to_string(m_count) + "}";
    if (uniform(m_random) < m_options.resendShare) {
        planResend(request);
    }
}

void arrival_schedule::planResend(const planned_request &request)
{
    planned_request again = request;
    const double delay = uniform(m_random) * static_cast<double>(m_options.resendDelay.count());
    again.at += std::chrono::microseconds(static_cast<std::int64_t>(delay * 1000));
    ++again.entry;
    m_resends.emplace(again.at, std::move(again));
}

// After each shift the ranks are dealt to the adapters anew.
std::string arrival_schedule::drawModel(std::chrono::microseconds at)
{
    const std::size_t rank = m_popularity.draw(m_random);
    const std::uint64_t epoch =
        m_options.shift.count() > 0 ? static_cast<std::uint64_t>(at / m_options.shift) : std::uint64_t{0};
    const std::uint64_t offset = epoch == 0 ? 0 : core::hash64(std::to_string(epoch), m_options.seed);
    const std::size_t number = (rank + offset % m_options.adapters) % m_options.adapters;
    const std::string name = m_options.adapterPrefix + std::to_string(number);
    return m_options.adapterVersion.empty() ? name : name + "@" + m_options.adapterVersion;
}

core::request_class arrival_schedule::drawClass()
{
    double sum = 0;
    for (const double weight : m_options.classMix) {
        sum += weight;
    }
    double point = uniform(m_random) * sum;
    for (std::size_t index = 0; index < m_options.classMix.size(); ++index) {
        point -= m_options.classMix[index];
        if (point < 0) {
            return core::allRequestClasses[index];
        }
    }
    return core::request_class::bulk;
}

} // namespace medlarrack::load
