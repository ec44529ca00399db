#pragma once

#include "codec.h"

#include "utils/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace wire {

/// One header line, in the order in which it came.
struct header_line {
    std::string name;
    std::string value;

    template <class Archive> void serialize(Archive& archive) { archive(name, value); }
};

/// Load of a backend server as its home has just told.
struct server_load {
    utils::server_id server;
    std::uint32_t inFlight = 0;
    std::uint32_t slots = 1;

    template <class Archive> void serialize(Archive& archive) { archive(server, inFlight, slots); }
};

/// A request on its way from the entry node to the home node of a backend server.
struct forward_request {
    std::string requestId;
    std::string traceparent;
    utils::pool_id pool;
    utils::server_id server;
    utils::team_id team;
    std::uint8_t priority = 0; ///< decisions::priority_class
    std::uint64_t remainingUs = 0; ///< time left to the caller's deadline when sent
    std::uint64_t chat = 0; ///< hash of the chat, for cache placement
    std::uint64_t revision = 0; ///< configuration under which the entry node let it in
    bool isIdempotent = true;
    bool mayWait = false; ///< no candidate has room: wait in the queue instead of refusing over the bound
    bool holdsCache = false; ///< the server holds the chat's prefix
    bool isSuspect = false; ///< may have crashed a server: runs on one with nothing else in flight
    bool isAnchor = false; ///< the home looks up where the chat was run last
    std::vector<server_load> loads; ///< of the homes that had no room, so that the next knows the mean
    std::string idempotencyKey; ///< of a request that is not idempotent
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

/// Status and headers of a backend server's answer.
struct forward_head {
    int status = 0;
    std::vector<header_line> headers;

    template <class Archive> void serialize(Archive& archive) { archive(status, headers); }
};

/// Why there is no answer, or no more of it.
struct forward_failure {
    std::int32_t kind = 0; ///< utils::error_kind
    std::int32_t run = 0; ///< utils::run_state
    std::int64_t retryAfterUs = -1; ///< -1: the table's
    std::string detail;
    utils::server_id tryInstead; ///< where the anchor home sent the chat before; may be empty
    std::uint32_t tryInsteadTokens = 0; ///< of the chat's prefix there
    std::uint32_t load = 0; ///< of the home's server, with a refusal before any head
    std::uint32_t slots = 1;
    std::uint64_t crash = 0; ///< names the crash that ended the attempt; 0: none
    bool wasAlone = false; ///< nothing else ran on the server that crashed

    template <class Archive> void serialize(Archive& archive)
    {
        archive(kind, run, retryAfterUs, detail, tryInstead, tryInsteadTokens, load, slots, crash, wasAlone);
    }
};

/// What one node asks another.
enum class call_kind : std::uint8_t {
    Ping = 1,
    FetchConfiguration, ///< payload: least revision wanted; reply: encoded document
    TeamLimit, ///< borrow from or return to the home of a calling team
    RememberChat, ///< the anchor's home learns where a chat was run
};

/// Payload of call_kind::RememberChat.
struct remember_chat {
    std::uint64_t chat = 0;
    utils::server_id server;

    template <class Archive> void serialize(Archive& archive) { archive(chat, server); }
};

struct peer_call {
    std::uint8_t kind = 0;
    std::string from;
    std::string payload;

    template <class Archive> void serialize(Archive& archive) { archive(kind, from, payload); }
};

struct peer_reply {
    bool isOk = false;
    std::string payload;

    template <class Archive> void serialize(Archive& archive) { archive(isOk, payload); }
};

} // namespace wire
