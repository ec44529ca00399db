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
    bool holdsCache = false; ///< the server holds the chat's prefix: the whole c applies
    std::uint32_t prefixTokens = 0; ///< of that prefix; the home may hold the request back by maxCacheWait it
    bool isAnchor = false; ///< the home looks the chat up in its spill_table first
    bool onlyIfRemembered = false; ///< an unknown chat is not admitted yet: its former anchor is asked first
};

/// Asks the home of a server that was the chat's anchor before a server joined or left: its spill_table may
/// still know the chat. Admits nothing; answered by a home_answer with or without `remembered`.
struct ask_former_anchor {
    utils::server_id server;
};

/// No candidate has room: let the home of `server` queue the request until it has, or until its deadline.
struct queue_at {
    utils::server_id server;
    bool holdsCache = false;
};

/// Every server is out: nothing to ask.
struct no_candidate { };

using walk_step = std::variant<ask_home, ask_former_anchor, queue_at, no_candidate>;

/// What a home answers to ask_home.
struct home_answer {
    admit_verdict verdict = admit_verdict::NotHolding;
    /// Of the anchor's home: the chat's prefix is at that server; nothing was admitted yet unless it is its
    /// own.
    std::optional<spill_record> remembered = std::nullopt;
    unsigned load = 0; ///< of the home's server, for the entry node's load_view
    double slots = 1; ///< slots x ramp-up
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
    /// `ranking`: servers as rankServers orders them. `formerAnchor`: first of the ranking over the servers
    /// of a while ago (as long as chats usually pause), where it differs from today's first.
    explicit candidate_walk(std::vector<utils::server_id> ranking,
        std::optional<utils::server_id> formerAnchor = {}, walk_settings settings = {});

    /// The next thing to do. Repeats itself until onAnswer.
    walk_step next() const;
    /// Answer of the home last asked; a home that does not answer counts as NotHolding. After queue_at the
    /// answer is that of the queue.
    void onAnswer(const home_answer& answer);
    /// Whether a home admitted the request.
    bool isAdmitted() const { return m_isAdmitted; }
    /// The server last asked.
    const std::optional<utils::server_id>& asked() const { return m_asked; }
    /// The server whose home has to learn where the chat went (spill_table::remember), once admitted.
    const std::optional<utils::server_id>& anchor() const { return m_anchor; }
    /// Homes asked so far.
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
