#pragma once

#include "callerservices.h"
#include "callerwriter.h"
#include "netstream.h"
#include "nodecontext.h"
#include "requestbuilder.h"

#include <boost/beast/core/flat_buffer.hpp>

#include <memory>

namespace serving {

/// One connection of a caller: reads requests within the limits, names the calling team, and lets the
/// router answer, one request after the other. A caller that goes away cancels its request.
/// On the node's one thread.
class caller_session : public std::enable_shared_from_this<caller_session> {
public:
    /// Preconditions: context and services outlive this.
    caller_session(node_context& context, caller_services services, net_stream stream);

    boost::asio::awaitable<void> run();
    /// Ends the connection at once if it waits for its next request, else after the present one.
    void leave();

private:
    using request_type = caller_request;
    struct read_outcome {
        std::optional<request_type> request;
        std::optional<utils::failure> failure; ///< to be answered; neither: the caller has gone
    };

    boost::asio::awaitable<read_outcome> readRequest();
    boost::asio::awaitable<read_outcome> readWithin();
    boost::asio::awaitable<void> handle(request_type request, caller_writer& writer);
    boost::asio::awaitable<void> answer(request_type request, caller_writer& writer);
    boost::asio::awaitable<void> answerRouted(wire::forward_request request, caller_writer& writer);
    boost::asio::awaitable<void> answerModels(const utils::team_id& team, caller_writer& writer);
    boost::asio::awaitable<bool> answerHealth(std::string_view target, caller_writer& writer);

    node_context& m_context;
    caller_services m_services;
    net_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    bool m_isIdle = true;
    bool m_isLeaving = false;
};

} // namespace serving
