#include "store.h"

#include <array>

namespace gateway {

std::string_view toString(store_status status)
{
    constexpr std::array<std::string_view, 7> names { "done", "history_gone", "refused", "not_found",
        "conflict", "no_answer", "unreadable" };
    return names.at(static_cast<std::size_t>(status));
}

std::string_view toString(store_call call)
{
    constexpr std::array<std::string_view, 5> names { "read_all", "watch", "write", "read_stale",
        "read_newest" };
    return names.at(static_cast<std::size_t>(call));
}

} // namespace gateway
