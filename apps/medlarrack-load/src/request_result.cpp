#include "request_result.hpp"

namespace medlarrack::load {

std::string_view toString(result_kind value)
{
    switch (value) {
    case result_kind::answered:
        return "answered";
    case result_kind::late:
        return "late";
    case result_kind::not_run:
        return "not_run";
    case result_kind::error_ran:
        return "error_ran";
    case result_kind::error_unknown:
        return "error_unknown";
    case result_kind::unreachable:
        return "unreachable";
    case result_kind::timed_out:
        return "timed_out";
    case result_kind::cut_off:
        return "cut_off";
    case result_kind::wrong:
        return "wrong";
    case result_kind::bad_error:
        break;
    }
    return "bad_error";
}

} // namespace medlarrack::load
