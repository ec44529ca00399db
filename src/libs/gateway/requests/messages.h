#pragma once

#include "gateway/peers/forwardhop.h"

#include "decisions/prefixindex.h"

#include "utils/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The request path of the gateway, whose nodes dispatch requests by themselves: connections of callers,
/// choice of a backend server, the exchange with it, and the way of the response back to the caller.
namespace gateway {

/// A header line of a forwarded message.
struct header_line {
    std::string name;
    std::string value;
};

/// A caller's request, decoded once on arrival.
struct client_request {
    std::string method;
    std::string target; ///< as the caller sent it
    std::string host;
    std::string requestId; ///< the id that the caller chose
    std::optional<utils::duration> callerTimeout; ///< how long the caller waits; default: the route's timeout
    std::string key; ///< API key; empty when the request has none
    std::optional<std::uint64_t> lastEventId; ///< the caller resumes a stream after this event
    /// Id of the request that brought the first event of the resumed stream; empty if the caller did not
    /// tell.
    std::string resumedRequest;
    std::vector<decisions::prompt_part> prompt; ///< shared parts first; the last one is the request's own
    std::uint32_t promptTokens = 0;
    std::optional<std::uint32_t> outputHint; ///< output tokens as the caller estimates them
    std::vector<header_line> forwardedHeaders; ///< headers that are forwarded to the backend server
    std::shared_ptr<const std::string> body; ///< null when there is none; shared with the writes that send it
    utils::time_point arrivedAt {};
    std::optional<forward_hop> hop; ///< set if another node has forwarded the request
};

/// What this node adds to a request for one backend server.
struct server_request {
    std::string serverId; ///< a server with another id must not run the request
    std::string workspace; ///< empty for a public route
    utils::duration callerTimeLeft {}; ///< what is left of the time that the caller waits
    std::optional<std::uint64_t> lastEventId; ///< the stream resumes after this event
    int priority = 0; ///< 0 is the most urgent
    bool isPrompt = false; ///< the backend server is a model engine
    std::string copyFrom; ///< "ip:port" of an engine that has more of the prompt in its KV cache; empty: none
};

/// The load that a backend server reports: running and waiting requests, and its slots.
struct reported_load {
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
    std::optional<double> slowdown {}; ///< how much longer than usual work takes there now; not all tell
};

/// The head of a backend server's response, decoded once.
struct server_response {
    int status = 0;
    std::string requestId; ///< id of the request that it answers
    bool isSigned = false; ///< has the signature header of a backend server
    bool isNotExecuted = false; ///< the server declares that it has not run the request
    bool isEncoded = false; ///< the body has a content encoding: it is not the server's own bytes
    std::optional<reported_load> load;
    /// The server may fail if it has to reject more requests than that in a second.
    std::optional<unsigned> rejectionsPerSecond;
    /// The server has turned the request away and wants no requests from this node for this time.
    std::optional<utils::duration> restFor;
    bool isRestUnreadable = false; ///< it names a time that cannot be read
    bool isLeaving = false; ///< the server ends soon
    std::optional<utils::duration> idleLimit; ///< the server closes a connection that is idle for longer
    std::vector<header_line> forwardedHeaders; ///< headers that are forwarded to the caller
};

} // namespace gateway
