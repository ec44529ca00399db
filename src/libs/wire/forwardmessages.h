#pragma once

#include "codec.h"

#include "utils/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace wire {

/// One HTTP header field. Lists of them keep the order of receipt.
struct header_line {
    std::string name;
    std::string value;

    template <class Archive> void serialize(Archive& archive) { archive(name, value); }
};

/// Load of a backend server as reported by its home node.
struct server_load {
    utils::server_id server;
    std::uint32_t inFlight = 0;
    std::uint32_t slots = 1;

    template <class Archive> void serialize(Archive& archive) { archive(server, inFlight, slots); }
};

/// A request that the entry node forwards to the home node of a backend server.
struct forward_request {
    std::string requestId;
    std::string traceparent;
    utils::pool_id pool;
    utils::server_id server;
    utils::team_id team;
    std::uint8_t priority = 0; ///< decisions::priority_class
    std::uint64_t remainingUs = 0; ///< time to the caller's deadline when sent, in microseconds
    std::uint64_t chat = 0; ///< hash of the chat, for cache placement
    std::uint64_t revision = 0; ///< configuration revision under which the entry node admitted it
    bool isIdempotent = true;
    bool mayWait = false; ///< no candidate has capacity: queue it instead of refusing it above the bound
    bool holdsCache = false; ///< the server's KV cache holds the chat's prefix
    bool isSuspect = false; ///< may have crashed a server: runs on one with no other request in flight
    bool isAnchor = false; ///< the home looks up the server that last ran the chat
    std::vector<server_load> loads; ///< from the homes without capacity, so that the next one knows the mean
    std::string idempotencyKey; ///< set for a request that is not idempotent
    std::string method;
    std::string target;
    std::vector<header_line> headers;
    std::string body;

    template <class Archive> void serialize(Archive& archive)
    {
        archive(requestId, traceparent, pool, server, team, priority, remainingUs, chat, revision,
            isIdempotent, mayWait, holdsCache, isSuspect, isAnchor, loads, idempotencyKey, method, target,
            headers, body);
    }
};

/// Status and headers of a backend server's response.
struct forward_head {
    int status = 0;
    std::vector<header_line> headers;

    template <class Archive> void serialize(Archive& archive) { archive(status, headers); }
};

/// Reason for a missing or truncated response.
struct forward_failure {
    std::int32_t kind = 0; ///< utils::error_kind
    std::int32_t run = 0; ///< utils::run_state
    std::int64_t retryAfterUs = -1; ///< in microseconds; -1: the default from the error table
    std::string detail;
    utils::server_id tryInstead; ///< server to which the anchor home sent the chat before; may be empty
    std::uint32_t tryInsteadTokens = 0; ///< length of the chat's prefix there, in tokens
    std::uint32_t load = 0; ///< of the home's server, in a refusal before any forward_head
    std::uint32_t slots = 1;
    std::uint64_t crash = 0; ///< identifier of the crash that ended the attempt; 0: none
    bool wasAlone = false; ///< no other request was in flight on the server that crashed

    template <class Archive> void serialize(Archive& archive)
    {
        archive(kind, run, retryAfterUs, detail, tryInstead, tryInsteadTokens, load, slots, crash, wasAlone);
    }
};

/// Type of a call between nodes.
enum class call_kind : std::uint8_t {
    Ping = 1,
    FetchConfiguration, ///< payload: minimum revision; reply: encoded document
    TeamLimit, ///< borrows from, or returns to, the limit at the home of a calling team
    RememberChat, ///< tells the anchor's home which server ran a chat
};

/// Payload of call_kind::RememberChat.
struct remember_chat {
    std::uint64_t chat = 0;
    utils::server_id server;

    template <class Archive> void serialize(Archive& archive) { archive(chat, server); }
};

/// A call from one node to another.
struct peer_call {
    std::uint8_t kind = 0;
    std::string from;
    std::string payload;

    template <class Archive> void serialize(Archive& archive) { archive(kind, from, payload); }
};

/// Reply to a peer_call.
struct peer_reply {
    bool isOk = false;
    std::string payload;

    template <class Archive> void serialize(Archive& archive) { archive(isOk, payload); }
};

} // namespace wire
