#include "command_line.hpp"

#include <popt.h>

#include <cstdlib>
#include <deque>
#include <functional>
#include <iostream>
#include <utility>

namespace medlarrack::standins {

class command_line::impl
{
public:
    struct option
    {
        const char *name;
        std::string help;
        bool takesValue;
        /// False when the text is no value of the option's type.
        std::function<bool(const char *text)> set;
    };

    std::deque<option> options;
    std::string extraHelp;
};

namespace {

template<typename Number, typename Parse>
std::function<bool(const char *)> numberSetter(Number &value, Parse parse)
{
    return [&value, parse](const char *text) {
        char *end = nullptr;
        const auto parsed = parse(text, &end);
        if (end == text || *end != '\0') {
            return false;
        }
        value = static_cast<Number>(parsed);
        return true;
    };
}

} // namespace

command_line::command_line()
    : m_impl(std::make_unique<impl>())
{
}

command_line::~command_line() = default;

void command_line::add(const char *name, int &value, std::string help)
{
    const auto parse = [](const char *text, char **end) {
        return std::strtol(text, end, 10);
    };
    m_impl->options.push_back(
        {name, std::move(help) + " (default " + std::to_string(value) + ")", true, numberSetter(value, parse)});
}

void command_line::add(const char *name, double &value, std::string help)
{
    const auto parse = [](const char *text, char **end) {
        return std::strtod(text, end);
    };
    m_impl->options.push_back(
        {name, std::move(help) + " (default " + std::to_string(value) + ")", true, numberSetter(value, parse)});
}

void command_line::add(const char *name, std::string &value, std::string help)
{
    m_impl->options.push_back({name, std::move(help), true, [&value](const char *text) {
                                   value = text;
                                   return true;
                               }});
}

void command_line::add(const char *name, std::vector<std::string> &values, std::string help)
{
    m_impl->options.push_back({name, std::move(help), true, [&values](const char *text) {
                                   values.emplace_back(text);
                                   return true;
                               }});
}

void command_line::add(const char *name, bool &flag, std::string help)
{
    m_impl->options.push_back({name, std::move(help), false, [&flag](const char *) {
                                   flag = true;
                                   return true;
                               }});
}

void command_line::addHelp(std::string_view text)
{
    m_impl->extraHelp += text;
}

std::optional<int> command_line::parse(int argc, const char **argv)
{
    constexpr int helpValue = 1;
    constexpr int versionValue = 2;
    constexpr int firstValue = 3;
    std::vector<poptOption> table;
    table.push_back({"help", 'h', POPT_ARG_NONE, nullptr, helpValue, "Show this help", nullptr});
    table.push_back({"version", '\0', POPT_ARG_NONE, nullptr, versionValue, "Show the version", nullptr});
    for (const auto &option : m_impl->options) {
        const int value = firstValue + static_cast<int>(table.size()) - 2;
        const unsigned kind = option.takesValue ? POPT_ARG_STRING : POPT_ARG_NONE;
        table.push_back(
            {option.name, '\0', kind, nullptr, value, option.help.c_str(), option.takesValue ? "VALUE" : nullptr});
    }
    table.push_back(POPT_TABLEEND);

    const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
        poptGetContext(nullptr, argc, argv, table.data(), 0), poptFreeContext);
    int found = 0;
    while ((found = poptGetNextOpt(context.get())) > 0) {
        if (found == helpValue) {
            poptPrintHelp(context.get(), stdout, 0);
            std::cout << m_impl->extraHelp;
            return exitOk;
        }
        if (found == versionValue) {
            std::cout << MEDLARRACK_VERSION << '\n';
            return exitOk;
        }
        const auto &option = m_impl->options[static_cast<std::size_t>(found - firstValue)];
        const std::unique_ptr<char, void (*)(void *)> text(poptGetOptArg(context.get()), std::free);
        if (!option.set(text.get())) {
            std::cerr << "--" << option.name << ": '" << text.get() << "' is no number\n";
            return exitBadUsage;
        }
    }
    if (found < -1) {
        std::cerr << poptBadOption(context.get(), POPT_BADOPTION_NOALIAS) << ": " << poptStrerror(found) << '\n';
        return exitBadUsage;
    }
    if (const char *extra = poptPeekArg(context.get())) {
        std::cerr << "unexpected argument '" << extra << "'\n";
        return exitBadUsage;
    }
    return std::nullopt;
}

} // namespace medlarrack::standins
