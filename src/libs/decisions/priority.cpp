#include "priority.h"

#include <algorithm>
#include <array>

namespace decisions {

namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(priority_class::Count_)> names {
    "interactive", "chat", "draft"
};

} // namespace

std::string_view toString(priority_class value)
{
    return names.at(static_cast<std::size_t>(value));
}

std::optional<priority_class> priorityFromName(std::string_view name)
{
    const auto found = std::ranges::find(names, name);
    if (found == names.end())
        return std::nullopt;
    return static_cast<priority_class>(found - names.begin());
}

} // namespace decisions
