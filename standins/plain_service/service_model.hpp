#pragma once

#include <map>
#include <string>
#include <string_view>

namespace medlarrack::standins {

/// Counts how often each idempotency key has run.
class service_model
{
public:
    explicit service_model(std::string name);

    /// Runs a request; an empty key is counted under "".
    /// Returns the answer's body as JSON text.
    std::string run(std::string_view method, std::string_view path, const std::string &key, std::string_view body);
    /// {"<key>": <runs>} as JSON text.
    [[nodiscard]] std::string runs() const;

private:
    std::string m_name;
    std::map<std::string, int> m_runs;
};

} // namespace medlarrack::standins
