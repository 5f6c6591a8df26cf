#include "service_model.hpp"

#include <medlarrack/core/hash.hpp>

#include <nlohmann/json.hpp>

#include <cstdio>
#include <utility>

namespace medlarrack::standins {

namespace {

std::string hex(std::uint64_t value)
{
    char digits[17];
    std::snprintf(digits, sizeof digits, "%016llx", static_cast<unsigned long long>(value));
    return digits;
}

std::string dump(const nlohmann::json &value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

service_model::service_model(std::string name)
    : m_name(std::move(name))
{
}

std::string service_model::run(std::string_view method, std::string_view path, const std::string &key,
                               std::string_view body)
{
    const int run = ++m_runs[key];
    return dump({{"service", m_name},
                 {"path", path},
                 {"method", method},
                 {"key", key},
                 {"run", run},
                 {"body_hash", hex(core::hash64(body))}});
}

std::string service_model::runs() const
{
    return dump(nlohmann::json(m_runs));
}

} // namespace medlarrack::standins
