#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

/// The parts of a message, one behind the other.
inline std::string joined(std::initializer_list<std::string_view> parts)
{
    std::string text;
    for (const std::string_view part : parts)
        text += part;
    return text;
}
