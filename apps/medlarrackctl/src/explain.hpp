#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace medlarrack::ctl {

/// One event of a request, as a daemon recorded it.
struct request_event
{
    /// Wall-clock time at that daemon in milliseconds.
    std::int64_t atMs = 0;
    std::string source;
    std::string what;
    std::string why;
    /// What was known then, as JSON text; empty for nothing.
    std::string known;
};

/// What daemons know of a request.
struct request_story
{
    std::vector<request_event> events;
    std::uint64_t dropped = 0;
    std::size_t daemons = 0;
};

/// Adds one daemon's page; false when it has not the form of a request's page.
[[nodiscard]] bool addPage(request_story &story, const std::string &source, const nlohmann::json &page);

/// Prints the events by time; those of one daemon stay in its own order.
void printStory(request_story story, const std::string &requestId, std::ostream &out);

} // namespace medlarrack::ctl
