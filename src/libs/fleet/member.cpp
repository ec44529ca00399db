#include "member.h"

#include <array>

namespace fleet {

namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(member_state::Count_)> stateNames {
    "listed",
    "alive",
    "leaving",
    "suspect",
    "dead",
    "left",
};

} // namespace

std::string_view toString(member_state state)
{
    return stateNames.at(static_cast<std::size_t>(state));
}

} // namespace fleet
