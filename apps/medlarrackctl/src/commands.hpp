#pragma once

#include "arguments.hpp"

#include <iosfwd>
#include <string>
#include <vector>

/// The commands of medlarrackctl. Each returns the exit code of the program.
namespace medlarrack::ctl {

/// Runs the command that the command line names.
[[nodiscard]] int runCommand(const arguments &wanted, std::istream &in, std::ostream &out, std::ostream &err);

/// Checks a settings file of "entry" or "sidecar".
[[nodiscard]] int checkSettings(const std::string &program, const std::string &path, std::ostream &out,
                                std::ostream &err);
/// Checks ticket files, each whole, and that no two have the same number.
[[nodiscard]] int checkTickets(const std::vector<std::string> &paths, std::ostream &out, std::ostream &err);
/// Prints a daemon's state: of a gateway as text unless JSON is wanted, of others always as JSON.
[[nodiscard]] int showState(const std::string &url, std::ostream &out, std::ostream &err, bool asJson = false);
/// Prints the joined time line of a request.
[[nodiscard]] int explain(const std::string &requestId, const std::vector<std::string> &urls, std::ostream &out,
                          std::ostream &err);
/// Prints the time line of a request from log files, with what its processes learnt of its replicas meanwhile.
[[nodiscard]] int explainFromLogs(const std::string &requestId, const std::vector<std::string> &paths, std::istream &in,
                                  std::ostream &out, std::ostream &err);
/// Prints where a gateway would send a request now, as the gateway explains it. A key in the request is never sent.
[[nodiscard]] int showRoute(const arguments &wanted, std::istream &in, std::ostream &out, std::ostream &err);
/// Prints a ticket's entry for a bearer key.
[[nodiscard]] int hashKey(const std::string &bearerKey, const std::string &salt, std::ostream &out, std::ostream &err);

} // namespace medlarrack::ctl
