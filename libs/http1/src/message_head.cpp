#include <medlarrack/http1/message_head.hpp>

#include <algorithm>
#include <array>

namespace medlarrack::http1 {

namespace {

char lower(char character)
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
}

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

const header *find(const message_head &head, std::string_view name)
{
    for (const header &field : head.headers) {
        if (equalsIgnoreCase(field.name, name)) {
            return &field;
        }
    }
    return nullptr;
}

} // namespace

std::string_view message_head::value(std::string_view name) const
{
    const header *field = find(*this, name);
    return field != nullptr ? std::string_view(field->value) : std::string_view();
}

bool message_head::has(std::string_view name) const
{
    return find(*this, name) != nullptr;
}

bool equalsIgnoreCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && std::equal(left.begin(), left.end(), right.begin(), [](char a, char b) {
               return lower(a) == lower(b);
           });
}

bool listsToken(std::string_view value, std::string_view token)
{
    while (!value.empty()) {
        const std::size_t comma = std::min(value.find(','), value.size());
        if (equalsIgnoreCase(trimmed(value.substr(0, comma)), token)) {
            return true;
        }
        value.remove_prefix(std::min(comma + 1, value.size()));
    }
    return false;
}

bool isHopByHop(std::string_view name)
{
    static constexpr std::array<std::string_view, 9> names = {"connection",
                                                              "keep-alive",
                                                              "proxy-authenticate",
                                                              "proxy-authorization",
                                                              "proxy-connection",
                                                              "te",
                                                              "trailer",
                                                              "transfer-encoding",
                                                              "upgrade"};
    return std::any_of(names.begin(), names.end(), [name](std::string_view known) {
        return equalsIgnoreCase(known, name);
    });
}

} // namespace medlarrack::http1
