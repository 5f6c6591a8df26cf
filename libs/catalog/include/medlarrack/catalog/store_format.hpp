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

/// The newest version of an adapter, which is named "model/adapter".
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

/// A record that can't be parsed. The previous one stays in effect, except for that of a replica.
struct unreadable_record
{
    std::string key;
    std::string why;
    /// Set if the record is a replica's, which isn't to be used then.
    std::optional<std::string> replicaId = std::nullopt;
};

/// One change of the published data.
using store_change = std::variant<published_state, replica_record, replica_removal, adapter_release, unreadable_record>;

/// Result of a call to the store.
struct store_answer
{
    std::vector<store_change> changes;
    /// The store's revision, from which the next call continues.
    std::uint64_t revision = 0;
    /// Start of the next page; nothing after the last one.
    std::optional<std::string> nextPage;
};

/// Format of the store's requests and answers.
class store_format
{
public:
    store_format() = default;
    store_format(const store_format &) = delete;
    store_format &operator=(const store_format &) = delete;
    virtual ~store_format() = default;

    /// Request target of one page of all published records.
    [[nodiscard]] virtual std::string pageTarget(std::string_view page) const = 0;
    /// Request target of the changes after a revision; the store answers on the first change or after the wait.
    [[nodiscard]] virtual std::string changesTarget(std::uint64_t after, std::chrono::milliseconds wait) const = 0;
    [[nodiscard]] virtual std::optional<store_answer> readPage(std::string_view body, core::reason &why) const = 0;
    [[nodiscard]] virtual std::optional<store_answer> readChanges(std::string_view body, core::reason &why) const = 0;
    /// Name of the header of every answer that holds the store's era, a number that rises each time the store comes
    /// back from a backup.
    [[nodiscard]] virtual std::string_view eraHeader() const = 0;
    /// The era in a value of that header; nothing if it is malformed.
    [[nodiscard]] virtual std::optional<std::uint64_t> readEra(std::string_view value) const = 0;
};

} // namespace medlarrack::catalog
