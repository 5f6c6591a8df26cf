#include <medlarrack/settings/document.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>
#include <utility>
#include <vector>

namespace medlarrack::settings {

namespace {

// Collects the keys of each open object, as the library keeps the last of two equal keys without a word.
class duplicate_key_check
{
public:
    explicit duplicate_key_check(fault_list &faults)
        : m_faults(faults)
    {
    }

    bool operator()(int, nlohmann::json::parse_event_t event, nlohmann::json &parsed)
    {
        using event_type = nlohmann::json::parse_event_t;
        if (event == event_type::object_start) {
            m_open.emplace_back();
        } else if (event == event_type::object_end) {
            m_open.pop_back();
        } else if (event == event_type::key) {
            const auto key = parsed.get<std::string>();
            if (!m_open.back().insert(key).second) {
                m_faults.push_back({"", "key \"" + key + "\" stands twice in one object"});
            }
        }
        return true;
    }

private:
    fault_list &m_faults;
    std::vector<std::set<std::string>> m_open;
};

std::string lineAndColumn(std::string_view text, std::size_t byte)
{
    const std::string_view before = text.substr(0, std::min(byte, text.size()));
    const auto line = 1 + std::count(before.begin(), before.end(), '\n');
    const auto lineStart = before.rfind('\n');
    const std::size_t column = lineStart == std::string_view::npos ? before.size() : before.size() - lineStart - 1;
    return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

} // namespace

document::document(std::unique_ptr<nlohmann::json> root)
    : m_root(std::move(root))
{
}

document::document(document &&) noexcept = default;
document &document::operator=(document &&) noexcept = default;
document::~document() = default;

std::optional<document> document::parse(std::string_view text, fault_list &faults)
{
    const std::size_t faultsBefore = faults.size();
    duplicate_key_check check(faults);
    try {
        const auto callback = [&check](int depth, nlohmann::json::parse_event_t event, nlohmann::json &parsed) {
            return check(depth, event, parsed);
        };
        auto root = std::make_unique<nlohmann::json>(nlohmann::json::parse(text, callback, true, true));
        if (faults.size() != faultsBefore) {
            return std::nullopt;
        }
        return document(std::move(root));
    } catch (const nlohmann::json::parse_error &error) {
        faults.push_back({"", "not valid JSON at " + lineAndColumn(text, error.byte)});
    } catch (const nlohmann::json::exception &error) {
        faults.push_back({"", error.what()});
    }
    return std::nullopt;
}

std::optional<document> document::load(const std::string &path, fault_list &faults)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        faults.push_back({"", "can't be opened"});
        return std::nullopt;
    }
    std::ostringstream content;
    content << file.rdbuf();
    return parse(content.str(), faults);
}

const nlohmann::json &document::root() const
{
    return *m_root;
}

} // namespace medlarrack::settings
