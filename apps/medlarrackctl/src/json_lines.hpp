#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace medlarrack::ctl {

/// Where a text stops being JSON.
struct syntax_fault
{
    std::size_t line = 1;
    std::size_t column = 1;
    std::string message;
};

/// The lines, from 1, on which the values of a JSON text with comments begin, by JSON pointer.
class json_lines
{
public:
    explicit json_lines(std::string_view text);

    /// The line of a value, or of the nearest value that holds it.
    [[nodiscard]] std::size_t lineOf(std::string_view pointer) const;
    [[nodiscard]] const std::optional<syntax_fault> &syntaxFault() const
    {
        return m_fault;
    }

private:
    std::map<std::string, std::size_t, std::less<>> m_lines;
    std::optional<syntax_fault> m_fault;
};

} // namespace medlarrack::ctl
