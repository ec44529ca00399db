#pragma once

#include <random>
#include <string>
#include <string_view>

/// Returns the text with 1 to 4 random mutations: a piece deleted, a piece duplicated elsewhere, or a
/// character overwritten by one of `marks`.
inline std::string mutate(std::string text, std::string_view marks, std::mt19937_64& random)
{
    const std::size_t times = 1 + random() % 4;
    for (std::size_t i = 0; i < times && !text.empty(); ++i) {
        const std::size_t at = random() % text.size();
        const std::size_t length = 1 + random() % 12;
        switch (random() % 3) {
        case 0:
            text.erase(at, length);
            break;
        case 1:
            text.insert(at, text.substr(random() % text.size(), length));
            break;
        default:
            text[at] = marks[random() % marks.size()];
            break;
        }
    }
    return text;
}
