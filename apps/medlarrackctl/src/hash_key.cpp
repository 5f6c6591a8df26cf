#include "commands.hpp"

#include <medlarrack/daemon/command_line.hpp>
#include <medlarrack/tickets/state.hpp>

#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>
#include <ostream>
#include <random>

namespace medlarrack::ctl {

namespace {

/// 128 random bits in hexadecimal.
std::string randomSalt()
{
    std::random_device device;
    std::string salt;
    for (int word = 0; word < 4; ++word) {
        std::array<char, 9> text{};
        std::snprintf(text.data(), text.size(), "%08x", device());
        salt += text.data();
    }
    return salt;
}

} // namespace

int hashKey(const std::string &bearerKey, const std::string &salt, std::ostream &out, std::ostream &err)
{
    const auto dot = bearerKey.find('.');
    if (dot == std::string::npos || dot == 0 || dot + 1 == bearerKey.size()) {
        err << "medlarrackctl: hash-key: expected OPERATOR.SECRET\n";
        return daemon::exitUsage;
    }
    const auto usedSalt = salt.empty() ? randomSalt() : salt;
    const nlohmann::json entry = {{"salt", usedSalt}, {"sha256", tickets::hashKey(usedSalt, bearerKey)}};
    out << entry.dump() << "\n";
    return daemon::exitOk;
}

} // namespace medlarrack::ctl
