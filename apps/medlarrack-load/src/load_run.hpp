#pragma once

#include "caller.hpp"
#include "load_options.hpp"
#include "planned_request.hpp"
#include "summary.hpp"

#include <medlarrack/core/clock.hpp>

#include <memory>

namespace medlarrack::load {

/// Runs a load: reads the engines' counters, sends every request at its time however the earlier ones fare, waits for
/// the last answer, reads the counters again and the services' runs. Progress goes to standard error.
class load_run
{
public:
    load_run(const load_options &options, const core::clock &clock, request_source &source);
    ~load_run();
    load_run(const load_run &) = delete;
    load_run &operator=(const load_run &) = delete;

    /// Blocks until the run is over.
    [[nodiscard]] summary execute();

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace medlarrack::load
