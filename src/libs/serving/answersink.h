#pragma once

#include "usagescan.h"

#include "utils/errorkind.h"
#include "wire/forwardmessages.h"

#include <boost/asio/awaitable.hpp>

#include <concepts>
#include <optional>
#include <string_view>

namespace serving {

using answer_head = wire::forward_head;

/// Where an answer goes as it arrives: to the caller, to the entry node, or into memory.
/// Each function is false once the receiver is gone; the relay then cancels the backend server's work.
template <class Sink>
concept answer_sink = requires(Sink& sink, const answer_head& head, std::string_view bytes)
{
    {
        sink.head(head)
        } -> std::same_as<boost::asio::awaitable<bool>>;
    {
        sink.body(bytes)
        } -> std::same_as<boost::asio::awaitable<bool>>;
    {
        sink.end()
        } -> std::same_as<boost::asio::awaitable<bool>>;
};

/// How an attempt to get an answer ended.
struct attempt_result {
    std::optional<utils::failure> failure; ///< nothing: the sink has the whole answer
    bool hasHead = false; ///< the sink was given the head, so no other attempt may follow
    utils::server_id tryInstead; ///< hint of the anchor home
    std::uint32_t tryInsteadTokens = 0; ///< of the chat's prefix there
    std::uint32_t load = 0; ///< of the server refused, as its home counts it
    std::uint32_t slots = 1;
    bool isHomeGone = false; ///< the home node died or was cut off while it had the request
    std::uint64_t crash = 0; ///< names the crash that ended the attempt; 0: none
    bool wasAlone = false; ///< nothing else ran on the server that crashed
    std::optional<prompt_usage> usage; ///< of a whole answer, where the engine reports it
    int status = 0; ///< the answer's HTTP status, once there is a head

    bool isWhole() const { return !failure; }
};

/// The run state of a failure, from itself or from the table. Thread safe.
inline utils::run_state runStateOf(const utils::failure& f)
{
    return f.run.value_or(utils::answerFor(f.kind).run);
}

} // namespace serving
