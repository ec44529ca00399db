#pragma once

#include <optional>
#include <string_view>

namespace decisions {

/// Priority class of a request, most urgent first.
enum class priority_class {
    Interactive, ///< status checks, lookups, payments, bookings: a person waits for the answer
    Chat, ///< a person reads the answer while it is generated
    Draft, ///< long drafts, which may wait but must not be lost
    Count_
};

/// Returns "interactive", "chat" or "draft". Thread safe.
std::string_view toString(priority_class value);
/// Returns the class of that name, or nothing. Thread safe.
std::optional<priority_class> priorityFromName(std::string_view name);

} // namespace decisions
