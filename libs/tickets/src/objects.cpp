#include <medlarrack/tickets/objects.hpp>

#include <algorithm>
#include <utility>

namespace medlarrack::tickets {

namespace {

constexpr std::string_view prefixSuffix = "/*";

/// Whether a path contains no dot segments, empty segments, escapes, backslashes or path parameters. With these the
/// target could resolve the path differently from the match here.
bool isNormalizedPath(std::string_view path)
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

/// Returns the length of the match between a call's path pattern and a path; 0 when they don't match. The longest match
/// is the most specific; a complete path counts as longer than any prefix.
std::size_t matchLength(std::string_view pattern, std::string_view path)
{
    if (pattern.size() >= prefixSuffix.size() && pattern.substr(pattern.size() - prefixSuffix.size()) == prefixSuffix) {
        const auto prefix = pattern.substr(0, pattern.size() - 1);
        const bool matches = path.substr(0, prefix.size()) == prefix && isNormalizedPath(path);
        return matches ? prefix.size() : 0;
    }
    return pattern == path ? path.size() + 1 : 0;
}

auto findPosition(const std::vector<adapter_version> &versions, std::string_view name)
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
    const auto insertPosition = findPosition(m_versions, name);
    m_versions.insert(insertPosition, {std::move(name), std::move(source)});
    return true;
}

bool version_list::contains(std::string_view name) const
{
    const auto found = findPosition(m_versions, name);
    return found != m_versions.end() && found->name == name;
}

bool service_state::isIdempotent(std::string_view method, std::string_view path) const
{
    const auto pathWithoutQuery = path.substr(0, path.find('?'));
    std::size_t best = 0;
    bool idempotent = false;
    for (const auto &call : calls) {
        const auto length = call.method == method ? matchLength(call.path, pathWithoutQuery) : 0;
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
