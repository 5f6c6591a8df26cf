#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarrack::standins {

/// Exit codes of the stand-ins.
constexpr int exitOk = 0;
constexpr int exitBadUsage = 2;
constexpr int exitCannotListen = 3;
constexpr int exitCrash = 70;

/// Long command line options by popt, with --help and --version.
class command_line
{
public:
    command_line();
    ~command_line();
    command_line(const command_line &) = delete;
    command_line &operator=(const command_line &) = delete;

    /// Each option writes to its value, which holds the default. The value must outlive parse().
    void add(const char *name, int &value, std::string help);
    void add(const char *name, double &value, std::string help);
    void add(const char *name, std::string &value, std::string help);
    /// May be given several times.
    void add(const char *name, std::vector<std::string> &values, std::string help);
    void add(const char *name, bool &flag, std::string help);
    /// Printed after the options by --help.
    void addHelp(std::string_view text);

    /// The exit code when the program is to end now: after --help, --version or a wrong option.
    [[nodiscard]] std::optional<int> parse(int argc, const char **argv);

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace medlarrack::standins
