#pragma once

#include <string>
#include <string_view>

namespace gateway {

/// Appends a header line to the head of a message. Thread safe.
inline void appendHeader(std::string& head, std::string_view name, std::string_view value)
{
    head += name;
    head += ": ";
    head += value;
    head += "\r\n";
}

} // namespace gateway
