#include <medlarrack/tickets/objects.hpp>

#include <algorithm>
#include <utility>

namespace medlarrack::tickets {

namespace {

constexpr std::string_view prefixMark = "/*";

/// Whether a path reaches the target as it is written. Dot segments, empty segments and escapes could lead the target
/// to another path than the one matched here.
bool isPlainPath(std::string_view path)
{
    if (path.find('%') != std::string_view::npos || path.find('\\') != std::string_view::npos
        || path.find("//") != std::string_view::npos || path.find(';') != std::string_view::npos) {
        return false;
    }
    std::size_t start = 0;
    while (start < path.size()) {
        const auto end = std::min(path.find('/', start), path.size());
        const auto segment = path.substr(start, end - start);
        if (segment == "." || segment == "..") {
            return false;
        }
        start = end + 1;
    }
    return true;
}

/// Length of the match of a call's path, so that the most specific one wins: whole paths beat all prefixes.
std::size_t matchLength(std::string_view pattern, std::string_view path)
{
    if (pattern.size() >= prefixMark.size() && pattern.substr(pattern.size() - prefixMark.size()) == prefixMark) {
        const auto prefix = pattern.substr(0, pattern.size() - 1);
        const bool matches = path.substr(0, prefix.size()) == prefix && isPlainPath(path);
        return matches ? prefix.size() : 0;
    }
    return pattern == path ? path.size() + 1 : 0;
}

auto position(const std::vector<adapter_version> &versions, std::string_view name)
{
    return std::lower_bound(versions.begin(), versions.end(), name,
                            [](const adapter_version &left, std::string_view right) {
                                return left.name < right;
                            });
}

} // namespace

bool version_list::emplace(std::string name, std::string source)
{
    if (contains(name)) {
        return false;
    }
    const auto place = position(m_versions, name);
    m_versions.insert(place, {std::move(name), std::move(source)});
    return true;
}

bool version_list::contains(std::string_view name) const
{
    const auto found = position(m_versions, name);
    return found != m_versions.end() && found->name == name;
}

bool service_state::isIdempotent(std::string_view method, std::string_view path) const
{
    const auto plain = path.substr(0, path.find('?'));
    std::size_t best = 0;
    bool idempotent = false;
    for (const auto &call : calls) {
        const auto length = call.method == method ? matchLength(call.path, plain) : 0;
        if (length > best) {
            best = length;
            idempotent = call.idempotent;
        }
    }
    return idempotent;
}

bool service_state::allows(std::string_view operatorName) const
{
    return std::find(operators.begin(), operators.end(), operatorName) != operators.end();
}

} // namespace medlarrack::tickets
