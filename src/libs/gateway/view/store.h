#pragma once

#include "utils/time.h"

#include <boost/asio/awaitable.hpp>

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gateway {

/// An item of the platform's store.
struct store_item {
    std::string key;
    std::string value;
    std::uint64_t revision = 0; ///< revision of the store at the last write
};

/// A change of an item.
struct store_change {
    store_item item;
    bool isRemoved = false;
};

/// Result of a call to the store.
enum class store_status {
    Done,
    HistoryGone, ///< a watch asked for revisions that the store no longer has
    Refused, ///< the store answered that it does not serve this node now
    NotFound,
    Conflict, ///< the condition of a write is not met
    NoAnswer, ///< timed out; a write may have been applied, or may be applied later
    Unreadable ///< the answer could not be decoded
};

/// Name for logs, e.g. "no_answer". Thread safe.
std::string_view toString(store_status status);

/// All items below a prefix.
struct store_range {
    store_status status = store_status::NoAnswer;
    std::vector<store_item> items;
    std::uint64_t asOf = 0; ///< revision of the store
};

/// The changes below a prefix.
struct store_changes {
    store_status status = store_status::NoAnswer;
    std::vector<store_change> changes;
    std::uint64_t asOf = 0; ///< the revision to continue from
};

/// How new an item that is read must be.
enum class read_freshness {
    MayBeStale, ///< may be seconds old; costs the store little and does not count towards its rate
    Newest
};

/// Result of reading one item.
struct store_read {
    store_status status = store_status::NoAnswer;
    store_item item;
};

/// The kinds of calls to the store.
enum class store_call {
    ReadAll,
    Watch,
    Write, ///< of one item, under a condition
    ReadStale, ///< of the configuration; may be seconds old
    ReadNewest ///< of the configuration
};

/// Name for metrics, e.g. "read_all". Thread safe.
std::string_view toString(store_call call);

/// The operations that the product needs of a store. Each call has a time-out of its own.
template <class Store>
concept watched_store = requires(Store& store, std::string prefix, std::uint64_t after, utils::duration wait)
{
    {
        store.item(prefix, read_freshness::Newest)
        } -> std::same_as<boost::asio::awaitable<store_read>>;
    {
        store.range(prefix)
        } -> std::same_as<boost::asio::awaitable<store_range>>;
    {
        store.watch(prefix, after, wait)
        } -> std::same_as<boost::asio::awaitable<store_changes>>;
    {
        store.isReceiving(utils::time_point())
        } -> std::same_as<bool>;
    { store.close() };
};

/// A store that can also be written to.
template <class Store>
concept writable_store
    = watched_store<Store> && requires(Store& store, std::string text, std::uint64_t revision)
{
    {
        store.write(text, text, revision)
        } -> std::same_as<boost::asio::awaitable<store_status>>;
};

} // namespace gateway
