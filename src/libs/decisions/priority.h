#pragma once

#include <optional>
#include <string_view>

namespace decisions {

/// Priority class of a request, most urgent first.
enum class priority_class {
    Interactive, ///< status checks, lookups, payments, bookings: a person waits
    Chat, ///< a person reads along
    Draft, ///< long drafting, may wait but never vanish
    Count_
};

/// "interactive", "chat" or "draft". Thread safe.
std::string_view toString(priority_class value);
/// The class of that name, or nothing. Thread safe.
std::optional<priority_class> priorityFromName(std::string_view name);

} // namespace decisions
