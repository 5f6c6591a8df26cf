#pragma once

#include <medlarrack/core/reason.hpp>

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>

namespace medlarrack::ctl {

/// A page that a daemon gave.
struct daemon_page
{
    int status = 0;
    std::string body;
};

/// Reads a page of a daemon, blocking; nothing, with the reason, when the daemon can't be reached.
[[nodiscard]] std::optional<daemon_page> readPage(const std::string &url, const std::string &path, core::reason &why);

/// A page's body as JSON; nothing when it isn't JSON.
[[nodiscard]] std::optional<nlohmann::json> pageJson(const daemon_page &page);

} // namespace medlarrack::ctl
