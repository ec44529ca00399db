#pragma once

#include "utils/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace serving {

/// What the router needs to know of a chat completion request; the body itself goes on unchanged.
struct chat_request {
    std::string model;
    bool isStreamed = false;
    std::uint64_t chat = 0; ///< same for each turn of one chat of one calling team
};

/// Reads the body of POST /v1/chat/completions. A chat is known by the caller's `prompt_cache_key` if
/// there is one, else by all messages up to the first of the user, which every later turn repeats.
/// Fails with MalformedRequest that names the field. Thread safe.
utils::result<chat_request> parseChatRequest(std::string_view body, std::string_view team);

} // namespace serving
