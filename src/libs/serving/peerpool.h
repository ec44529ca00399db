#pragma once

#include "answersink.h"

#include "wire/framestream.h"

#include <boost/asio/any_io_executor.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace serving {

/// Streams to other nodes, kept open between requests; one request at a time on each. Not thread safe.
class peer_pool {
public:
    peer_pool(boost::asio::any_io_executor executor, wire::fleet_keys keys);

    /// Sends a request on to the home at `address` and passes its answer to `sink`. Cancelling closes the
    /// stream, by which the home cancels the work.
    template <answer_sink Sink>
    boost::asio::awaitable<attempt_result> forward(
        std::string address, const wire::forward_request& request, Sink& sink);
    /// Asks a node something; nothing when there is no answer within `timeout`.
    boost::asio::awaitable<std::optional<wire::peer_reply>> call(
        std::string address, wire::peer_call question, std::chrono::milliseconds timeout);

private:
    struct connection {
        std::unique_ptr<wire::frame_stream> stream;
        bool isReused = false;
    };

    boost::asio::awaitable<connection> acquire(std::string address, bool mustBeNew);
    void release(const std::string& address, std::unique_ptr<wire::frame_stream> stream);
    template <answer_sink Sink>
    boost::asio::awaitable<attempt_result> relay(wire::frame_stream& stream, Sink& sink, bool& hasAnswer);
    boost::asio::awaitable<std::optional<wire::peer_reply>> ask(
        std::string address, wire::peer_call question);

    boost::asio::any_io_executor m_executor;
    wire::fleet_keys m_keys;
    std::map<std::string, std::vector<std::unique_ptr<wire::frame_stream>>> m_idle;
};

} // namespace serving
