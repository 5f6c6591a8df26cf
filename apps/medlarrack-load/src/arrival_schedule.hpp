#pragma once

#include "load_options.hpp"
#include "planned_request.hpp"
#include "zipf.hpp"

#include <map>
#include <random>

namespace medlarrack::load {

/// Open-loop arrivals: exponential gaps at a rate, whatever becomes of earlier requests. A function of the options and
/// their seed alone.
class arrival_schedule final : public request_source
{
public:
    explicit arrival_schedule(const load_options &options);

    [[nodiscard]] std::optional<planned_request> next() override;

private:
    [[nodiscard]] planned_request makeRequest();
    void fillCompletion(planned_request &request);
    void fillServiceCall(planned_request &request);
    [[nodiscard]] std::string drawModel(std::chrono::microseconds at);
    [[nodiscard]] core::request_class drawClass();
    void planResend(const planned_request &request);

    load_options m_options;
    std::mt19937_64 m_random;
    zipf m_popularity;
    std::chrono::microseconds m_nextArrival{0};
    std::uint64_t m_count = 0;
    /// Second sendings that are still to come.
    std::multimap<std::chrono::microseconds, planned_request> m_resends;
};

} // namespace medlarrack::load
