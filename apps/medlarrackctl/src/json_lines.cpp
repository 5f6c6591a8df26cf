#include "json_lines.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <vector>

namespace medlarrack::ctl {

namespace {

using nlohmann::json;

/// How far the parser has read.
struct read_place
{
    std::size_t line = 1;
    char last = '\0';

    /// The line of a token whose last character has been read, but for at most one character after it.
    [[nodiscard]] std::size_t tokenLine(bool readsAhead) const
    {
        return readsAhead && last == '\n' ? line - 1 : line;
    }
};

/// Gives the parser the text's characters and counts the lines it has read.
class counting_iterator
{
public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char *;
    using reference = const char &;

    counting_iterator(const char *position, read_place *place)
        : m_position(position)
        , m_place(place)
    {
    }

    reference operator*() const
    {
        return *m_position;
    }

    counting_iterator &operator++()
    {
        m_place->line += *m_position == '\n' ? 1 : 0;
        m_place->last = *m_position;
        ++m_position;
        return *this;
    }

    bool operator==(const counting_iterator &other) const
    {
        return m_position == other.m_position;
    }

private:
    const char *m_position;
    read_place *m_place;
};

std::string escaped(const std::string &key)
{
    std::string result;
    for (const char character : key) {
        if (character == '~') {
            result += "~0";
        } else if (character == '/') {
            result += "~1";
        } else {
            result += character;
        }
    }
    return result;
}

/// Notes the line of every value.
class line_recorder : public nlohmann::json_sax<json>
{
public:
    line_recorder(const read_place &place, std::map<std::string, std::size_t, std::less<>> &lines)
        : m_place(place)
        , m_lines(lines)
    {
    }

    bool null() override
    {
        return value(false);
    }
    bool boolean(bool /*flag*/) override
    {
        return value(false);
    }
    bool number_integer(number_integer_t /*number*/) override
    {
        return value(true);
    }
    bool number_unsigned(number_unsigned_t /*number*/) override
    {
        return value(true);
    }
    bool number_float(number_float_t /*number*/, const string_t & /*text*/) override
    {
        return value(true);
    }
    bool string(string_t & /*text*/) override
    {
        return value(false);
    }
    bool binary(binary_t & /*bytes*/) override
    {
        return value(false);
    }
    bool start_object(std::size_t /*size*/) override
    {
        m_holders.push_back({place(false), false, 0, {}});
        return true;
    }
    bool key(string_t &text) override
    {
        auto &holder = m_holders.back();
        holder.member = holder.pointer + "/" + escaped(text);
        m_lines.insert_or_assign(holder.member, m_place.tokenLine(false));
        return true;
    }
    bool end_object() override
    {
        m_holders.pop_back();
        return true;
    }
    bool start_array(std::size_t /*size*/) override
    {
        m_holders.push_back({place(false), true, 0, {}});
        return true;
    }
    bool end_array() override
    {
        m_holders.pop_back();
        return true;
    }
    bool parse_error(std::size_t position, const std::string & /*token*/, const json::exception &error) override
    {
        m_errorPosition = position;
        m_error = error.what();
        return false;
    }

    [[nodiscard]] const std::string &error() const
    {
        return m_error;
    }
    [[nodiscard]] std::size_t errorPosition() const
    {
        return m_errorPosition;
    }

private:
    struct open_value
    {
        std::string pointer;
        bool isArray = false;
        std::size_t next = 0;
        /// Pointer of the member whose key was read last.
        std::string member;
    };

    bool value(bool readsAhead)
    {
        static_cast<void>(place(readsAhead));
        return true;
    }

    /// The pointer of the value that begins or was just read; notes its line unless its key's stands already.
    std::string place(bool readsAhead)
    {
        if (m_holders.empty()) {
            m_lines.emplace("", m_place.tokenLine(readsAhead));
            return "";
        }
        auto &holder = m_holders.back();
        if (!holder.isArray) {
            return holder.member;
        }
        auto pointer = holder.pointer + "/" + std::to_string(holder.next++);
        m_lines.insert_or_assign(pointer, m_place.tokenLine(readsAhead));
        return pointer;
    }

    const read_place &m_place;
    std::map<std::string, std::size_t, std::less<>> &m_lines;
    std::vector<open_value> m_holders;
    std::string m_error;
    std::size_t m_errorPosition = 0;
};

syntax_fault faultAt(std::string_view text, std::size_t position, std::string message)
{
    // The position counts the characters read, so the faulty one is the last of them.
    const auto before = text.substr(0, std::min(position > 0 ? position - 1 : 0, text.size()));
    const auto lineStart = before.rfind('\n');
    syntax_fault fault;
    fault.line = 1 + static_cast<std::size_t>(std::count(before.begin(), before.end(), '\n'));
    fault.column = before.size() - (lineStart == std::string_view::npos ? 0 : lineStart + 1) + 1;
    fault.message = std::move(message);
    return fault;
}

} // namespace

json_lines::json_lines(std::string_view text)
{
    read_place place;
    line_recorder recorder(place, m_lines);
    const counting_iterator begin(text.data(), &place);
    const counting_iterator end(text.data() + text.size(), &place);
    if (!json::sax_parse(begin, end, &recorder, json::input_format_t::json, true, true)) {
        m_fault = faultAt(text, recorder.errorPosition(), recorder.error());
    }
}

std::size_t json_lines::lineOf(std::string_view pointer) const
{
    while (true) {
        const auto found = m_lines.find(pointer);
        if (found != m_lines.end()) {
            return found->second;
        }
        if (pointer.empty()) {
            return 1;
        }
        pointer = pointer.substr(0, pointer.rfind('/'));
    }
}

} // namespace medlarrack::ctl
