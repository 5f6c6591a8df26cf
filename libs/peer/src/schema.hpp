#pragma once

#include <medlarrack/peer/messages.hpp>

#include <cstdint>
#include <tuple>

/// Type numbers and field numbers of the messages on the wire. A number once used keeps its meaning; new fields take
/// new numbers.
namespace medlarrack::peer::detail {

/// One field: its number on the wire and the member that holds it.
template<class Message, class Value>
struct field
{
    std::uint8_t number;
    Value Message::*member;
};

template<class Message, class Value>
field(int, Value Message::*) -> field<Message, Value>;

/// Type number and fields of one message.
template<class Message>
struct schema;

template<>
struct schema<hello>
{
    static constexpr std::uint64_t type = 1;
    static constexpr auto fields =
        std::make_tuple(field{1, &hello::sender}, field{2, &hello::dataCentre}, field{3, &hello::lowestVersion},
                        field{4, &hello::highestVersion}, field{5, &hello::newestTicket});
};

template<>
struct schema<run_request>
{
    static constexpr std::uint64_t type = 2;
    static constexpr auto fields = std::make_tuple(
        field{1, &run_request::requestId}, field{2, &run_request::attempt}, field{3, &run_request::kind},
        field{4, &run_request::operatorName}, field{5, &run_request::priority}, field{6, &run_request::deadlineLeft},
        field{7, &run_request::adapter}, field{8, &run_request::baseModel}, field{9, &run_request::service},
        field{10, &run_request::method}, field{11, &run_request::path}, field{12, &run_request::headers},
        field{13, &run_request::body}, field{14, &run_request::idempotent}, field{15, &run_request::idempotencyKey},
        field{16, &run_request::stream}, field{17, &run_request::resumeFrom}, field{18, &run_request::newestTicket},
        field{19, &run_request::fingerprint}, field{20, &run_request::crashes});
};

template<>
struct schema<run_accepted>
{
    static constexpr std::uint64_t type = 3;
    static constexpr auto fields = std::make_tuple(field{1, &run_accepted::attempt}, field{2, &run_accepted::by});
};

template<>
struct schema<run_refused>
{
    static constexpr std::uint64_t type = 4;
    static constexpr auto fields = std::make_tuple(
        field{1, &run_refused::attempt}, field{2, &run_refused::outcome}, field{3, &run_refused::code},
        field{4, &run_refused::message}, field{5, &run_refused::retryAfter}, field{6, &run_refused::tryElsewhere},
        field{7, &run_refused::targetCrashed}, field{8, &run_refused::newestTicket}, field{9, &run_refused::holderId});
};

template<>
struct schema<run_head>
{
    static constexpr std::uint64_t type = 5;
    static constexpr auto fields =
        std::make_tuple(field{1, &run_head::attempt}, field{2, &run_head::status}, field{3, &run_head::headers},
                        field{4, &run_head::loadStall}, field{5, &run_head::queued}, field{6, &run_head::replayed});
};

template<>
struct schema<run_chunk>
{
    static constexpr std::uint64_t type = 6;
    static constexpr auto fields =
        std::make_tuple(field{1, &run_chunk::attempt}, field{2, &run_chunk::offset}, field{3, &run_chunk::data});
};

template<>
struct schema<run_end>
{
    static constexpr std::uint64_t type = 7;
    static constexpr auto fields = std::make_tuple(field{1, &run_end::attempt}, field{2, &run_end::totalBytes});
};

template<>
struct schema<load_report>
{
    static constexpr std::uint64_t type = 8;
    static constexpr auto fields = std::make_tuple(
        field{1, &load_report::sender}, field{2, &load_report::sequence}, field{3, &load_report::running},
        field{4, &load_report::queued}, field{5, &load_report::batchSize}, field{6, &load_report::slots},
        field{7, &load_report::leaving}, field{8, &load_report::adapters}, field{9, &load_report::newestTicket});
};

template<>
struct schema<watch_load>
{
    static constexpr std::uint64_t type = 9;
    static constexpr auto fields =
        std::make_tuple(field{1, &watch_load::newestTicket}, field{2, &watch_load::shortestInterval});
};

template<>
struct schema<tickets_request>
{
    static constexpr std::uint64_t type = 10;
    static constexpr auto fields = std::make_tuple(field{1, &tickets_request::after});
};

template<>
struct schema<tickets_reply>
{
    static constexpr std::uint64_t type = 11;
    static constexpr auto fields = std::make_tuple(
        field{1, &tickets_reply::tickets}, field{2, &tickets_reply::newestTicket}, field{3, &tickets_reply::complete});
};

template<>
struct schema<seal_request>
{
    static constexpr std::uint64_t type = 12;
    static constexpr auto fields = std::make_tuple(
        field{1, &seal_request::service}, field{2, &seal_request::idempotencyKey}, field{3, &seal_request::asker});
};

template<>
struct schema<seal_reply>
{
    static constexpr std::uint64_t type = 13;
    static constexpr auto fields =
        std::make_tuple(field{1, &seal_reply::state}, field{2, &seal_reply::by}, field{4, &seal_reply::knowsSinceMs},
                        field{5, &seal_reply::status}, field{6, &seal_reply::headers}, field{7, &seal_reply::body},
                        field{8, &seal_reply::bodyKept});
};

} // namespace medlarrack::peer::detail
