#include <medlarrack/routing/choice.hpp>

namespace medlarrack::routing {

std::string_view toString(choice_reason value)
{
    switch (value) {
    case choice_reason::adapter_loaded:
        return "adapter_loaded";
    case choice_reason::home:
        return "home";
    case choice_reason::new_copy:
        return "new_copy";
    case choice_reason::further_home:
        return "further_home";
    case choice_reason::spill:
        return "spill";
    case choice_reason::key_home:
        return "key_home";
    case choice_reason::least_loaded:
        return "least_loaded";
    case choice_reason::suspect_alone:
        return "suspect_alone";
    case choice_reason::last_resort:
        return "last_resort";
    case choice_reason::same_again:
        return "same_again";
    case choice_reason::random:
        return "random";
    }
    return "";
}

} // namespace medlarrack::routing
