#include <medlarrack/http1/message_parser.hpp>

#include <algorithm>
#include <http_parser.h>
#include <utility>

namespace medlarrack::http1 {

namespace {

/// Enough for a chunk's size, its line ends and an extension such as a signature.
constexpr std::uint64_t framingBytesPerChunk = 128;
/// Room for fields that is kept from one message to the next, enough for usual ones: connections live long.
constexpr std::size_t keptFields = 32;
constexpr std::size_t keptTargetBytes = 1'024;
constexpr std::size_t statusDigits = 3;
constexpr int minStatus = 100;
constexpr int maxStatus = 599;

bool isTokenCharacter(char character)
{
    static constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z')
        || (character >= 'A' && character <= 'Z') || others.find(character) != std::string_view::npos;
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isFieldValue(std::string_view text)
{
    return std::none_of(text.begin(), text.end(), [](char character) {
        const auto code = static_cast<unsigned char>(character);
        return (code < 0x20 && code != '\t') || code == 0x7f;
    });
}

bool isDigits(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char character) {
        return character >= '0' && character <= '9';
    });
}

} // namespace

class message_parser::impl
{
public:
    impl(message_kind messageKind, std::size_t headLimit)
        : kind(messageKind)
        , maxHeadBytes(headLimit)
    {
        reset(false);
    }

    void reset(bool noBody)
    {
        http_parser_init(&parser, kind == message_kind::request ? HTTP_REQUEST : HTTP_RESPONSE);
        parser.data = this;
        state = parse_state::head;
        head.method.clear();
        dropText(head.target, keptTargetBytes);
        if (head.headers.capacity() > keptFields) {
            std::exchange(head.headers, {});
        }
        head.headers.clear();
        fieldBytes = 0;
        head.status = 0;
        body.clear();
        fault = {};
        headBytes = 0;
        framingBytes = 0;
        chunks = 0;
        lastByte = '\0';
        anyLine = false;
        lineEmpty = true;
        headScanned = false;
        inStatusLine = true;
        afterVersion = false;
        statusBytes = 0;
        valueBegun = false;
        endsWithStream = false;
        skipsBody = noBody;
        started = false;
    }

    static void dropText(std::string &text, std::size_t keptBytes)
    {
        if (text.capacity() > keptBytes) {
            std::exchange(text, {});
        }
        text.clear();
    }

    std::size_t feed(std::string_view bytes)
    {
        if (bytes.empty() || state == parse_state::complete || state == parse_state::malformed
            || state == parse_state::head_too_long) {
            return 0;
        }
        started = true;
        const bool inHead = state == parse_state::head;
        if (const std::string_view why = inHead ? lineFault(bytes) : std::string_view(); !why.empty()) {
            reject(why);
            return 0;
        }
        const std::size_t bodyBytes = body.size();
        const std::size_t consumed = http_parser_execute(&parser, &callbacks(), bytes.data(), bytes.size());
        const http_errno error = HTTP_PARSER_ERRNO(&parser);
        if (error == HPE_PAUSED) {
            // Paused by onComplete; the byte that completed the message counts as consumed.
            http_parser_pause(&parser, 0);
            return consumed;
        }
        if (state == parse_state::body && kind == message_kind::request) {
            framingBytes += consumed - (inHead ? scannedBytes : 0) - (body.size() - bodyBytes);
            if (framingBytes > maxHeadBytes + chunks * framingBytesPerChunk) {
                reject("the chunk sizes, chunk extensions and trailers are longer than allowed");
                return consumed;
            }
        }
        if (state == parse_state::head_too_long) {
            return consumed;
        }
        if (state != parse_state::malformed && error != HPE_OK) {
            reject(http_errno_description(error));
        }
        if (inHead && state == parse_state::head) {
            headBytes += consumed;
            if (headBytes > maxHeadBytes) {
                state = parse_state::head_too_long;
            }
        }
        return consumed;
    }

    /// What is wrong with the lines of the head. The library passes lines that begin with a blank, which continue the
    /// one before for some readers only, and takes any byte behind a carriage return for the end of the head.
    std::string_view lineFault(std::string_view bytes)
    {
        scannedBytes = 0;
        for (const char byte : bytes) {
            if (headScanned) {
                return {};
            }
            ++scannedBytes;
            if (lastByte == '\n' && (byte == ' ' || byte == '\t')) {
                return "a header line is continued on the next one";
            }
            if (lastByte == '\r' && byte != '\n') {
                return "a carriage return in the head ends no line";
            }
            countStatusBytes(byte);
            if (byte == '\n') {
                headScanned = anyLine && lineEmpty;
                lineEmpty = true;
            } else if (byte != '\r') {
                anyLine = true;
                lineEmpty = false;
            }
            lastByte = byte;
        }
        return {};
    }

    /// The library gives the status as a number only, and takes any count of digits.
    void countStatusBytes(char byte)
    {
        if (!inStatusLine || byte == '\r' || (byte == '\n' && !anyLine)) {
            return;
        }
        const bool isBlank = byte == ' ' || byte == '\n';
        inStatusLine = byte != '\n' && !(isBlank && statusBytes > 0);
        afterVersion = afterVersion || isBlank;
        statusBytes += afterVersion && !isBlank ? 1 : 0;
    }

    void reject(std::string_view why)
    {
        state = parse_state::malformed;
        fault = why;
    }

    static const http_parser_settings &callbacks()
    {
        static const http_parser_settings settings = [] {
            http_parser_settings made;
            http_parser_settings_init(&made);
            made.on_url = onTarget;
            made.on_header_field = onName;
            made.on_header_value = onValue;
            made.on_headers_complete = onHead;
            made.on_body = onBody;
            made.on_chunk_header = onChunk;
            made.on_message_complete = onComplete;
            return made;
        }();
        return settings;
    }

    static impl &of(http_parser *parser)
    {
        return *static_cast<impl *>(parser->data);
    }

    static int onTarget(http_parser *parser, const char *bytes, std::size_t size)
    {
        of(parser).head.target.append(bytes, size);
        of(parser).fieldBytes += size;
        return 0;
    }

    static int onName(http_parser *parser, const char *bytes, std::size_t size)
    {
        impl &self = of(parser);
        if (self.state != parse_state::head) {
            // Trailer fields are dropped: nothing here uses them.
            return 0;
        }
        if (self.head.headers.empty() || self.valueBegun) {
            self.head.headers.emplace_back();
            self.valueBegun = false;
        }
        self.head.headers.back().name.append(bytes, size);
        self.fieldBytes += size;
        return 0;
    }

    static int onValue(http_parser *parser, const char *bytes, std::size_t size)
    {
        impl &self = of(parser);
        if (self.state != parse_state::head || self.head.headers.empty()) {
            return 0;
        }
        self.head.headers.back().value.append(bytes, size);
        self.fieldBytes += size;
        self.valueBegun = true;
        return 0;
    }

    static int onHead(http_parser *parser)
    {
        impl &self = of(parser);
        std::size_t size = self.head.target.size();
        for (const header &field : self.head.headers) {
            size += field.name.size() + field.value.size();
        }
        if (size > self.maxHeadBytes) {
            self.state = parse_state::head_too_long;
            return -1;
        }
        self.head.minorVersion = parser->http_minor;
        if (self.kind == message_kind::request) {
            self.head.method = http_method_str(static_cast<http_method>(parser->method));
        } else {
            self.head.status = static_cast<int>(parser->status_code);
        }
        if (const std::string_view why = self.headFault(*parser); !why.empty()) {
            self.reject(why);
            return -1;
        }
        self.state = parse_state::body;
        const bool noBody = self.skipsBody || (self.kind == message_kind::response && self.head.status < 200);
        self.endsWithStream = self.kind == message_kind::response && !noBody && needsStreamEnd(*parser);
        return noBody ? 1 : 0;
    }

    /// Forms that this library takes, or another reader could take, for something else.
    [[nodiscard]] std::string_view headFault(const http_parser &parsed) const
    {
        if (parsed.http_major != 1) {
            return "not HTTP/1";
        }
        if (kind == message_kind::response
            && (statusBytes != statusDigits || head.status < minStatus || head.status > maxStatus)) {
            return "the status is not a number from 100 to 599";
        }
        std::size_t lengths = 0;
        std::size_t encodings = 0;
        for (const header &field : head.headers) {
            if (!isToken(field.name)) {
                return "a header name holds characters that aren't allowed there";
            }
            if (!isFieldValue(field.value)) {
                return "a header value holds control characters";
            }
            if (equalsIgnoreCase(field.name, "content-length")) {
                ++lengths;
                if (!isDigits(field.value)) {
                    return "Content-Length is no number";
                }
            }
            if (equalsIgnoreCase(field.name, "transfer-encoding")) {
                ++encodings;
                if (!equalsIgnoreCase(field.value, "chunked")) {
                    return "a transfer encoding other than chunked";
                }
            }
        }
        if (lengths + encodings > 1) {
            return "the length of the body is stated more than once";
        }
        if (encodings > 0 && parsed.http_minor == 0) {
            return "a chunked body in HTTP/1.0";
        }
        return {};
    }

    static bool needsStreamEnd(const http_parser &parsed)
    {
        const bool bodiless = parsed.status_code / 100 == 1 || parsed.status_code == 204 || parsed.status_code == 304;
        return !bodiless && (parsed.flags & F_CHUNKED) == 0 && (parsed.flags & F_CONTENTLENGTH) == 0;
    }

    static int onBody(http_parser *parser, const char *bytes, std::size_t size)
    {
        of(parser).body.append(bytes, size);
        return 0;
    }

    static int onChunk(http_parser *parser)
    {
        ++of(parser).chunks;
        return 0;
    }

    static int onComplete(http_parser *parser)
    {
        impl &self = of(parser);
        self.keepsAlive = http_should_keep_alive(parser) != 0;
        self.state = parse_state::complete;
        http_parser_pause(parser, 1);
        return 0;
    }

    http_parser parser{};
    message_kind kind;
    std::size_t maxHeadBytes;
    parse_state state = parse_state::head;
    message_head head;
    std::string body;
    std::string_view fault;
    std::size_t headBytes = 0;
    /// Bytes of the target and of the fields' names and values.
    std::size_t fieldBytes = 0;
    /// Bytes of the head among those that were fed last.
    std::size_t scannedBytes = 0;
    /// Bytes behind the head that belong to no body.
    std::uint64_t framingBytes = 0;
    std::uint64_t chunks = 0;
    char lastByte = '\0';
    bool anyLine = false;
    bool lineEmpty = true;
    bool headScanned = false;
    bool inStatusLine = true;
    bool afterVersion = false;
    std::size_t statusBytes = 0;
    bool valueBegun = false;
    bool endsWithStream = false;
    bool skipsBody = false;
    bool keepsAlive = false;
    bool started = false;
};

message_parser::message_parser(message_kind kind, std::size_t maxHeadBytes)
    : m_impl(std::make_unique<impl>(kind, maxHeadBytes))
{
}

message_parser::~message_parser() = default;

void message_parser::setMaxHeadBytes(std::size_t maxHeadBytes)
{
    m_impl->maxHeadBytes = maxHeadBytes;
}

void message_parser::reset(bool noBody)
{
    m_impl->reset(noBody);
}

std::size_t message_parser::feed(std::string_view bytes)
{
    return m_impl->feed(bytes);
}

parse_state message_parser::finish()
{
    if (m_impl->state == parse_state::body && m_impl->endsWithStream) {
        m_impl->keepsAlive = false;
        m_impl->state = parse_state::complete;
    }
    return m_impl->state;
}

parse_state message_parser::state() const
{
    return m_impl->state;
}

const message_head &message_parser::head() const
{
    return m_impl->head;
}

std::size_t message_parser::headMemory() const
{
    return m_impl->fieldBytes + m_impl->head.headers.capacity() * sizeof(header);
}

const std::string &message_parser::body() const
{
    return m_impl->body;
}

std::string &message_parser::body()
{
    return m_impl->body;
}

std::uint64_t message_parser::announcedBytes() const
{
    const http_parser &parser = m_impl->parser;
    return m_impl->state == parse_state::body && (parser.flags & F_CONTENTLENGTH) != 0 ? parser.content_length : 0;
}

bool message_parser::started() const
{
    return m_impl->started;
}

bool message_parser::keepsAlive() const
{
    return m_impl->keepsAlive;
}

bool message_parser::endsWithStream() const
{
    return m_impl->endsWithStream;
}

std::string_view message_parser::fault() const
{
    return m_impl->fault;
}

} // namespace medlarrack::http1
