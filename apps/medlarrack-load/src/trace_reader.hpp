#pragma once

#include "load_options.hpp"
#include "planned_request.hpp"

#include <medlarrack/core/reason.hpp>

#include <istream>

namespace medlarrack::load {

/// The requests of a recorded trace, in order of time.
class trace_source final : public request_source
{
public:
    explicit trace_source(std::vector<planned_request> requests);

    [[nodiscard]] std::optional<planned_request> next() override;

private:
    std::vector<planned_request> m_requests;
    std::size_t m_next = 0;
};

/// Reads a trace: one JSON object a line; see docs/LOAD.md. Nothing with a reason that names line and field when a line
/// can't be taken.
[[nodiscard]] std::optional<std::vector<planned_request>> readTrace(std::istream &input, const load_options &options,
                                                                    core::reason &why);

} // namespace medlarrack::load
