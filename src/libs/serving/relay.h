#pragma once

#include "answersink.h"
#include "backendexchange.h"

namespace serving {

/// Passes one answer from a backend server to `sink` as it arrives. The sink's pace is the exchange's:
/// nothing is read ahead of what the receiver has taken, so a slow caller holds one buffer.
template <answer_sink Sink>
boost::asio::awaitable<attempt_result> relayAnswer(backend_exchange& exchange, Sink& sink)
{
    const utils::failure callerGone = utils::makeFailure(utils::error_kind::CallerGone);
    attempt_result result;
    const auto head = co_await exchange.readHead();
    if (!head) {
        result.failure = exchange.failure();
        co_return result;
    }
    result.hasHead = true;
    result.status = head->status;
    if (!co_await sink.head(*head)) {
        result.failure = callerGone;
        co_return result;
    }
    usage_scan scan;
    while (true) {
        const auto bytes = co_await exchange.readSome();
        if (!bytes) {
            result.failure = exchange.failure();
            co_return result;
        }
        if (bytes->empty())
            break;
        scan.feed(*bytes);
        if (!co_await sink.body(*bytes)) {
            result.failure = callerGone;
            co_return result;
        }
    }
    result.usage = scan.find();
    if (!co_await sink.end())
        result.failure = callerGone;
    co_return result;
}

} // namespace serving
