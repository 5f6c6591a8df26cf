#include <medlarrack/peer/codec.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <msgpack.hpp>

#include <random>

using namespace medlarrack;
using namespace medlarrack::peer;
using namespace std::chrono_literals;

namespace {

const std::vector<std::pair<std::string, std::string>> someHeaders = {{"Content-Type", "text/plain"}, {"X-A", ""}};

run_request fullRequest()
{
    run_request value;
    value.requestId = "r-1";
    value.attempt = 3;
    value.kind = work_kind::service_call;
    value.operatorName = "slavonska";
    value.priority = core::request_class::control;
    value.deadlineLeft = 1'500ms;
    value.adapter = {"slavonska/nozzle-7", "v3"};
    value.baseModel = "base-8b";
    value.service = "pivot";
    value.method = "POST";
    value.path = "/start";
    value.headers = someHeaders;
    value.body = std::string("\0\xff{}", 4);
    value.idempotent = true;
    value.idempotencyKey = "key";
    value.stream = true;
    value.resumeFrom = 1ULL << 40U;
    value.newestTicket = 12;
    value.fingerprint = ~0ULL;
    value.crashes = 1;
    return value;
}

// One message of each type, with every field away from its default.
std::vector<message> allMessages()
{
    return {
        hello{{"entry-1", 5}, "osijek", 2, 3, 9},
        fullRequest(),
        run_accepted{2, {"sidecar-1", 6}},
        run_refused{2, core::outcome::unknown, "code", "text", 250ms, true, true, 12, "s-2"},
        run_head{2, 404, someHeaders, 17us, 18us, true},
        run_chunk{2, 77, "data: {}"},
        run_end{2, 99},
        load_report{{"sidecar-1", 6}, 4, 5, 6, 16, 8, true, {{"a/b", "v1"}, {"a/c", "v2"}}, 12},
        watch_load{12, 250ms},
        tickets_request{11},
        tickets_reply{{"{\"ticket\": 12}", "{}"}, 13, false},
        seal_request{"pivot", "key", {"sidecar-1", 6}},
        seal_reply{seal_state::ran, {"s-1", 1}, -5, 201, someHeaders, "body", true},
    };
}

std::optional<message> decodeWhole(std::string_view bytes, core::reason &why)
{
    decoder decoder;
    if (!decoder.feed(bytes, why)) {
        return std::nullopt;
    }
    return decoder.next(why);
}

std::string packed(const std::function<void(msgpack::packer<msgpack::sbuffer> &)> &write)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> out(buffer);
    write(out);
    return {buffer.data(), buffer.size()};
}

} // namespace

BOOST_AUTO_TEST_CASE(every_message_type_survives_a_round_trip_in_pieces_of_one_byte)
{
    const auto messages = allMessages();
    BOOST_REQUIRE(messages.size() == std::variant_size_v<message>);
    decoder decoder;
    core::reason why;
    for (std::size_t index = 0; index < messages.size(); ++index) {
        BOOST_TEST(messages[index].index() == index);
        const auto bytes = encode(messages[index]);
        for (const char byte : bytes) {
            BOOST_TEST(!decoder.next(why));
            BOOST_REQUIRE(decoder.feed({&byte, 1}, why));
        }
        BOOST_TEST(!decoder.midMessage());
        const auto value = decoder.next(why);
        BOOST_REQUIRE(value.has_value());
        BOOST_TEST(value->index() == index);
        // The encoding is a function of the fields, so equal bytes mean equal fields.
        BOOST_TEST((encode(*value) == bytes), "type " << index);
    }
    BOOST_TEST(why.code.empty());
}

BOOST_AUTO_TEST_CASE(fields_keep_their_values)
{
    core::reason why;
    const auto value = decodeWhole(encode(fullRequest()), why);
    BOOST_REQUIRE(value.has_value());
    const auto &request = std::get<run_request>(*value);
    BOOST_TEST((request.deadlineLeft == 1'500ms));
    BOOST_TEST((request.adapter == core::adapter_ref{"slavonska/nozzle-7", "v3"}));
    BOOST_TEST((request.headers == someHeaders));
    BOOST_TEST((request.body == fullRequest().body));
    BOOST_TEST(request.fingerprint == ~0ULL);
    BOOST_TEST((request.priority == core::request_class::control));
}

BOOST_AUTO_TEST_CASE(unknown_fields_are_ignored_and_missing_ones_take_their_defaults)
{
    const auto bytes = packed([](auto &out) {
        out.pack_array(2);
        out.pack(4);
        out.pack_map(2);
        out.pack(200);
        out.pack(std::vector<std::string>{"from", "a", "later", "version"});
        out.pack(3);
        out.pack(std::string("queue_full"));
    });
    core::reason why;
    const auto value = decodeWhole(bytes, why);
    BOOST_REQUIRE(value.has_value());
    BOOST_TEST(std::get<run_refused>(*value).code == "queue_full");
    BOOST_TEST((std::get<run_refused>(*value).outcome == core::outcome::not_run));
}

BOOST_AUTO_TEST_CASE(messages_of_an_unknown_type_are_skipped_and_counted)
{
    const auto bytes = packed([](auto &out) {
        out.pack_array(2);
        out.pack(9'999);
        out.pack_map(0);
    });
    decoder decoder;
    core::reason why;
    BOOST_REQUIRE(decoder.feed(bytes + encode(watch_load{5}), why));
    const auto value = decoder.next(why);
    BOOST_REQUIRE(value.has_value());
    BOOST_TEST(std::get<watch_load>(*value).newestTicket == 5U);
    BOOST_TEST(decoder.skipped() == 1U);
}

BOOST_AUTO_TEST_CASE(a_truncated_message_yields_nothing_and_is_seen_as_such)
{
    const auto bytes = encode(fullRequest());
    for (std::size_t length = 1; length < bytes.size(); ++length) {
        decoder decoder;
        core::reason why;
        BOOST_TEST(decoder.feed(bytes.substr(0, length), why));
        BOOST_TEST(!decoder.next(why));
        BOOST_TEST(decoder.midMessage());
    }
}

namespace {

const std::vector<std::string> absurdInputs = {
    "GET / HTTP/1.1\r\n\r\n",
    std::string("\xc1", 1),
    // An array and a map said to hold 4 billion elements.
    std::string("\xdd\xff\xff\xff\xff", 5),
    std::string("\xdf\xff\xff\xff\xff", 5),
    // Nested too deeply.
    std::string(64, '\x91'),
    // Envelopes of a wrong form.
    std::string("\x93\x06\x80\x80", 4),
    std::string("\x92\xa1x\x80", 4),
    std::string("\x92\xff\x80", 3),
    std::string("\x92\x06\x90", 3),
    // Wrong type, out of range for 32 bits, negative for unsigned, enumeration out of range, text as field number.
    std::string("\x92\x06\x81\x01\xa1x", 6),
    std::string("\x92\x06\x81\x01\xcf\x00\x00\x00\x01\x00\x00\x00\x00", 13),
    std::string("\x92\x06\x81\x01\xff", 5),
    std::string("\x92\x04\x81\x02\x09", 5),
    std::string("\x92\x06\x81\xa1x\x01", 6),
    // A pair of three, a list that is a map.
    std::string("\x92\x03\x81\x02\x93\xa0\x00\x00", 8),
    std::string("\x92\x0b\x81\x01\x80", 5),
};

} // namespace

BOOST_DATA_TEST_CASE(absurd_input_is_refused_with_a_reason, boost::unit_test::data::make(absurdInputs), bytes)
{
    decoder decoder;
    core::reason why;
    BOOST_TEST(!decoder.feed(bytes, why));
    BOOST_TEST(!why.code.empty());
    BOOST_TEST(!why.message.empty());
    BOOST_TEST(!decoder.next(why));
    BOOST_TEST(!decoder.feed(encode(watch_load{}), why));
}

BOOST_AUTO_TEST_CASE(a_message_at_the_limit_passes_and_a_longer_one_is_refused_before_its_end)
{
    const std::size_t overhead = encode(run_chunk{1, 1, std::string(1U << 20U, 'x')}).size() - (1U << 20U);
    core::reason why;
    BOOST_TEST(decodeWhole(encode(run_chunk{1, 1, std::string(maxMessageBytes - overhead, 'x')}), why).has_value());
    BOOST_TEST(
        !decodeWhole(encode(run_chunk{1, 1, std::string(maxMessageBytes - overhead + 1, 'x')}), why).has_value());

    // Many strings, each within the limit, whose sum is not; the last byte is never sent.
    const auto bytes = encode(tickets_reply{std::vector<std::string>(6, std::string(1U << 20U, 't')), 0, true});
    decoder decoder;
    BOOST_TEST(!decoder.feed(std::string_view(bytes).substr(0, maxMessageBytes + 70'000), why));
    BOOST_TEST(why.code == "message_too_long");
}

BOOST_AUTO_TEST_CASE(a_string_or_an_extension_said_to_hold_4_gib_is_refused_once_the_limit_has_arrived)
{
    for (const auto &start :
         {std::string("\x92\x06\x81\x03\xdb\xff\xff\xff\xff", 9), std::string("\xc9\xff\xff\xff\xff\x01", 6)}) {
        decoder decoder;
        core::reason why;
        BOOST_TEST(decoder.feed(start, why));
        BOOST_TEST(decoder.feed(std::string(maxMessageBytes - start.size(), 'x'), why));
        BOOST_TEST(!decoder.feed("x", why));
        BOOST_TEST(why.code == "message_too_long");
        BOOST_TEST(!decoder.feed("x", why));
    }
}

BOOST_AUTO_TEST_CASE(random_changes_to_valid_messages_never_break_the_decoder)
{
    constexpr unsigned seed = 20'261'203;
    BOOST_TEST_MESSAGE("seed " << seed);
    std::mt19937 random(seed);
    const auto messages = allMessages();
    for (int round = 0; round < 20'000; ++round) {
        std::string bytes = encode(messages[random() % messages.size()]);
        bytes[random() % bytes.size()] = static_cast<char>(random() % 256);
        decoder decoder;
        core::reason why;
        const bool taken = decoder.feed(bytes, why);
        BOOST_TEST_REQUIRE(taken == why.code.empty());
    }
}
