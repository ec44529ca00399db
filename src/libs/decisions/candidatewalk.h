#pragma once

#include "homeledger.h"
#include "spilltable.h"

#include "utils/ids.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace decisions {

/// Asks the home of `server` to admit the request.
struct ask_home {
    utils::server_id server;
    bool holdsCache = false; ///< the server holds the chat's prefix, so the full bound c applies
    std::uint32_t prefixTokens = 0; ///< its length; the home may queue the request for maxCacheWait
    bool isAnchor = false; ///< the home first looks the chat up in its spill_table
    bool onlyIfRemembered = false; ///< do not admit an unknown chat yet: its former anchor is asked first
};

/// Asks the home of the server that was the chat's anchor before a server joined or left, whose spill_table
/// may still know the chat. Admits nothing; the home_answer may carry `remembered`.
struct ask_former_anchor {
    utils::server_id server;
};

/// No candidate has room: the home of `server` queues the request until it has room or the deadline passes.
struct queue_at {
    utils::server_id server;
    bool holdsCache = false;
};

/// No server is left to ask.
struct no_candidate { };

using walk_step = std::variant<ask_home, ask_former_anchor, queue_at, no_candidate>;

/// A home's answer to a walk_step.
struct home_answer {
    admit_verdict verdict = admit_verdict::NotHolding;
    /// Set by the anchor's home: the server that holds the chat's prefix. Nothing is admitted unless that is
    /// the home's own server.
    std::optional<spill_record> remembered = std::nullopt;
    unsigned load = 0; ///< in-flight requests of the home's server, for the entry node's load_view
    double slots = 1; ///< slots x ramp-up
};

struct walk_settings {
    /// Among eight servers, almost always one is below the mean load; more candidates cost more hops.
    std::size_t maxCandidates = 8;
};

/// Decides which homes the entry node asks for a chat, in the order of the chat's ranking: the anchor, then
/// the server that the anchor's spill_table names, then the next servers of the ranking. When none has room,
/// the least loaded of those asked queues the request. Load: a hot server; its overflow goes to the next
/// servers of each chat's own ranking, which differ between chats, so no single server takes the whole
/// overflow. A request asks at most maxCandidates + 1 homes. State machine: onAnswer() takes events, next()
/// returns the step to execute. Not thread safe.
class candidate_walk {
public:
    /// `ranking`: servers in the order of rankServers. `formerAnchor`: first of the ranking over an earlier
    /// set of servers (as long ago as chats usually pause), if it differs from the current first.
    explicit candidate_walk(std::vector<utils::server_id> ranking,
        std::optional<utils::server_id> formerAnchor = {}, walk_settings settings = {});

    /// Returns the next step; the same one until onAnswer() is called.
    walk_step next() const;
    /// Applies the answer of the home last asked. Report a home that does not answer as NotHolding. After
    /// queue_at, the answer is the outcome of the queueing.
    void onAnswer(const home_answer& answer);
    /// Whether a home admitted the request.
    bool isAdmitted() const { return m_isAdmitted; }
    /// The server whose home was asked last.
    const std::optional<utils::server_id>& asked() const { return m_asked; }
    /// The anchor server, whose home must record where the chat was admitted (spill_table::remember).
    const std::optional<utils::server_id>& anchor() const { return m_anchor; }
    /// Number of homes asked so far.
    std::size_t asks() const { return m_asks; }

private:
    struct refusal {
        utils::server_id server;
        double loadPerSlot;
    };

    void recordRefusal(const home_answer& answer);
    void advance();
    bool isRanked(const utils::server_id& server) const;
    std::optional<utils::server_id> nextRanked() const;

    std::vector<utils::server_id> m_ranking;
    walk_settings m_settings;
    std::optional<utils::server_id> m_anchor;
    std::optional<utils::server_id> m_formerAnchor;
    std::optional<spill_record> m_remembered;
    std::optional<utils::server_id> m_asked;
    std::size_t m_asks = 0;
    std::set<utils::server_id> m_tried;
    std::optional<refusal> m_leastLoaded;
    bool m_isAdmitted = false;
    walk_step m_next;
};

} // namespace decisions
