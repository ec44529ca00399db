#pragma once

#include "homeledger.h"

#include "utils/ids.h"

#include <cstddef>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace decisions {

/// Asks the home of `server` to admit the request (or to queue it, see wait_at).
struct ask_home {
    utils::server_id server;
    bool holdsCache = false; ///< the server holds the chat's prefix: the whole c applies
    bool isAnchor = false; ///< the home looks the chat up in its spill_memory first
};

/// No candidate has room: let the home of `server` queue the request until it has, or until its deadline.
struct wait_at {
    utils::server_id server;
    bool holdsCache = false;
};

/// Every server is out: nothing to ask.
struct no_candidate { };

using walk_step = std::variant<ask_home, wait_at, no_candidate>;

/// What a home answers to ask_home.
struct home_answer {
    admit_verdict verdict = admit_verdict::NotHolding;
    /// Of the anchor's home: the chat's prefix is at that server; nothing was admitted yet unless it is its
    /// own.
    std::optional<utils::server_id> remembered;
    unsigned load = 0; ///< of the home's server, for the entry node's load_view
    unsigned slots = 1;
};

struct walk_settings {
    /// New chats have a server below the mean among eight with near certainty; more costs hops.
    std::size_t maxCandidates = 8;
};

/// The entry node's way down a chat's ranking: the anchor first, then where the anchor remembers the chat,
/// then the ranking's next ones, and when none has room, the least loaded of those asked queues it. Answers a
/// hot server: its chats go to the next ones of their own rankings, which differ from chat to chat, so no
/// single neighbour takes the whole overflow. Bounded: a request asks at most maxCandidates + 1 homes.
/// Events in (onAnswer), one step out (next); not thread safe.
class candidate_walk {
public:
    /// `ranking`: servers as rankServers orders them.
    explicit candidate_walk(std::vector<utils::server_id> ranking, walk_settings settings = {});

    /// The next thing to do. Repeats itself until onAnswer.
    walk_step next() const;
    /// Answer of the home last asked; a home that does not answer counts as NotHolding.
    void onAnswer(const home_answer& answer);
    /// Whether a home admitted the request.
    bool isAdmitted() const { return m_isAdmitted; }
    /// The server last asked.
    const std::optional<utils::server_id>& asked() const { return m_asked; }
    /// The server whose home has to learn where the chat went (spill_memory::remember), once admitted.
    const std::optional<utils::server_id>& anchor() const { return m_anchor; }
    /// Homes asked so far.
    std::size_t asks() const { return m_tried.size(); }

private:
    struct refusal {
        utils::server_id server;
        double loadPerSlot;
    };

    void advance();
    std::optional<utils::server_id> nextRanked() const;

    std::vector<utils::server_id> m_ranking;
    walk_settings m_settings;
    std::optional<utils::server_id> m_anchor;
    std::optional<utils::server_id> m_remembered;
    std::optional<utils::server_id> m_asked;
    bool m_askedHoldsCache = false;
    std::set<utils::server_id> m_tried;
    std::optional<refusal> m_leastLoaded;
    bool m_isAdmitted = false;
    walk_step m_next;
};

} // namespace decisions
