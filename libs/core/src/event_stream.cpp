#include <medlarrack/core/event_stream.hpp>

namespace medlarrack::core {

std::size_t eventEnd(std::string_view text, std::size_t from)
{
    const std::size_t plain = text.find("\n\n", from);
    // Not searched beyond the other form: a text of many events would be scanned whole for each of them.
    const std::size_t carriage = text.substr(0, plain).find("\r\n\r\n", from);
    if (plain == std::string_view::npos && carriage == std::string_view::npos) {
        return std::string_view::npos;
    }
    return plain < carriage ? plain + 2 : carriage + 4;
}

} // namespace medlarrack::core
