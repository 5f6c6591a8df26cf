#pragma once

#include <medlarrack/catalog/published_state.hpp>
#include <medlarrack/catalog/replica_record.hpp>
#include <medlarrack/core/reason.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace medlarrack::catalog {

/// The newest version of an adapter, by "model/adapter".
struct adapter_release
{
    std::string adapter;
    std::uint64_t version = 0;
};

/// A replica has left the instance list.
struct replica_removal
{
    std::string id;
};

/// A record that can't be read; what it replaced holds on.
struct unreadable_record
{
    std::string key;
    std::string why;
};

/// One change of what the store publishes.
using store_change = std::variant<published_state, replica_record, replica_removal, adapter_release, unreadable_record>;

/// What a call to the store gave.
struct store_answer
{
    std::vector<store_change> changes;
    /// The store's revision; the next call goes on from here.
    std::uint64_t revision = 0;
    /// Where the next page begins; nothing after the last one.
    std::optional<std::string> nextPage;
};

/// How the store is asked and how its answers read.
class store_format
{
public:
    store_format() = default;
    store_format(const store_format &) = delete;
    store_format &operator=(const store_format &) = delete;
    virtual ~store_format() = default;

    /// Request target of one page of all that is published.
    [[nodiscard]] virtual std::string pageTarget(std::string_view page) const = 0;
    /// Request target of the changes after a revision; the store answers at the first change or after the wait.
    [[nodiscard]] virtual std::string changesTarget(std::uint64_t after, std::chrono::milliseconds wait) const = 0;
    [[nodiscard]] virtual std::optional<store_answer> readPage(std::string_view body, core::reason &why) const = 0;
    [[nodiscard]] virtual std::optional<store_answer> readChanges(std::string_view body, core::reason &why) const = 0;
};

} // namespace medlarrack::catalog
