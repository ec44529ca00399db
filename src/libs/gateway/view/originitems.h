#pragma once

#include "store.h"

#include "decisions/streamorigins.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace gateway {

/// Prefix of the keys in the store below which nodes write the origins of streams.
inline constexpr std::string_view originItemPrefix = "stream-origins/";

/// Thread safe.
inline bool isOriginItem(std::string_view key)
{
    return key.starts_with(originItemPrefix);
}

/// Callbacks for items that hold origins of streams.
struct origin_item_events {
    std::function<void(const std::vector<store_item>&)> onRead; ///< all of them, by a full read
    std::function<void(const store_item&)> onChange; ///< one that has just changed
};

/// The value of an item. Thread safe.
std::string encodeOrigins(const std::vector<decisions::stream_origin>& origins);
/// The inverse; bytes behind the last whole origin are ignored. Thread safe.
std::vector<decisions::stream_origin> decodeOrigins(std::string_view bytes);

} // namespace gateway
