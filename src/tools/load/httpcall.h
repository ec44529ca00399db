#pragma once

#include "answercheck.h"
#include "requestmix.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <string>

namespace load {

/// An answer with its times.
struct timed_answer {
    raw_answer answer;
    std::chrono::steady_clock::time_point firstByteAt;
    std::chrono::steady_clock::time_point endedAt;
};

/// Sends one request to "ip:port" over a connection of its own and reads the answer to its end. Never throws;
/// failures are in the answer. Runs on the caller's executor.
boost::asio::awaitable<timed_answer> callNode(
    std::string node, planned_request request, std::string apiKey, std::chrono::milliseconds timeout);

} // namespace load
