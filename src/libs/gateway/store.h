#pragma once

#include "utils/time.h"

#include <boost/asio/awaitable.hpp>

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gateway {

/// One item of the platform's store.
struct store_item {
    std::string key;
    std::string value;
    std::uint64_t revision = 0; ///< of the store, when it was last written
};

/// One change of an item.
struct store_change {
    store_item item;
    bool isRemoved = false;
};

/// How a call to the store ended.
enum class store_status {
    Done,
    HistoryGone, ///< a watch asked for more than the store remembers
    Refused, ///< the store answered that it does not serve this node now
    NotFound,
    Conflict, ///< the condition of a write does not hold
    NoAnswer, ///< nothing came in time; a write may have been done, or be done later
    Unreadable ///< an answer that is none
};

/// Name for logs, e.g. "no_answer". Thread safe.
std::string_view toString(store_status status);

/// Everything below a prefix.
struct store_range {
    store_status status = store_status::NoAnswer;
    std::vector<store_item> items;
    std::uint64_t asOf = 0; ///< revision of the store
};

/// What has changed below a prefix.
struct store_changes {
    store_status status = store_status::NoAnswer;
    std::vector<store_change> changes;
    std::uint64_t asOf = 0; ///< to go on from
};

/// The store, as the product uses it. Calls are given up after their own time-outs.
template <class Store>
concept watched_store = requires(Store& store, std::string prefix, std::uint64_t after, utils::duration wait)
{
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

} // namespace gateway
