#pragma once

#include "attempt.h"
#include "requestplan.h"

namespace gateway {

/// Accounts for the attempts of one request on backend servers: server loads, timeouts, server health, sound
/// prompts and prompt placements. Each attempt runs from begin() to end(). Without begin(), as for an
/// attempt by way of a peer, nothing is recorded. Not thread safe.
class attempt_tracker {
public:
    /// Precondition: `context` and `plan` outlive this object. `number` identifies the request on this node.
    attempt_tracker(node_context& context, const request_plan& plan, std::uint64_t number)
        : m_context(context)
        , m_plan(plan)
        , m_number(number)
    {
    }

    /// Records that the request is about to be sent to `server`. `unreadTokens`: the prompt tokens that the
    /// server is expected to prefill. `placement`: what was known when the server was chosen.
    void begin(const catalogue::backend_server& server, std::uint32_t unreadTokens,
        const decisions::placement& placement, utils::time_point now);
    /// Records that data of the response arrived.
    void dataReceived(utils::time_point now);
    /// Records that the response shows the prefill to be complete.
    void prefillDone();
    /// Records the first event of a stream.
    void firstEventReceived(utils::time_point now);
    /// Ends the attempt; `status` is that of the response, if there was one.
    void end(attempt_outcome outcome, int status, utils::time_point now);

    /// Restarts the timeout at `now`.
    void restartTimeout(utils::time_point now) { m_lastReceivedAt = now; }
    /// Returns when the attempt times out, as known at `now`. It times out when this request receives no data
    /// for the longer of `limit` and the time that its prompt and those queued before it may take, or when
    /// the server sends nothing on any request for as long as makes it suspect.
    utils::time_point timeoutAt(utils::duration limit, utils::time_point now) const;

    /// The last attempt, as it stands at `now`.
    lost_attempt lost(const std::string& requestId, utils::time_point now) const;

    /// Returns the time since data of the response arrived, or since the request was sent; zero before that.
    utils::duration silentFor(utils::time_point now) const;

private:
    /// Records that servers survive answers to requests with these suspects.
    void recordSound(utils::time_point beganAt, utils::time_point now);
    /// Learns from a complete response how long requests of its kind occupy a slot.
    void learnOccupancy(bool isShort, utils::time_point now);
    /// How long the request may wait for a slot by what is known now: requests that came later, and are more
    /// urgent, go before it. Zero if the server had a free slot when it was sent.
    utils::duration queueTime(utils::time_point now) const;

    node_context& m_context;
    const request_plan& m_plan;
    std::uint64_t m_number;
    utils::server_id m_server;
    utils::time_point m_sentAt {};
    utils::time_point m_lastReceivedAt {};
    utils::time_point m_firstEventAt {};
    utils::duration m_serverSilence {};
    std::uint32_t m_unreadTokens = 0; ///< prompt tokens to prefill, as estimated on sending
    std::uint32_t m_tokensAhead = 0; ///< prefilled by the server before the response, this prompt included
    utils::duration m_latestResponse {}; ///< longest expected wait for the response; zero once it began
    // A server that crashes as it begins to answer has ended by then.
    static constexpr utils::duration soundAfter = std::chrono::milliseconds(100);

    bool m_isActive = false; ///< between begin() and end()
    bool m_isSound = false; ///< recordSound() was called
    bool m_hasSlot = false; ///< the server had a free slot when the request was sent
    bool m_isPromptPending = false;
    std::uint32_t m_heldTokens = 0; ///< prompt tokens expected in the KV cache of the server before sending
    decisions::server_candidate m_candidate;
    bool m_isUnexpected = false; ///< the engine is not where other nodes look for the parts
};

} // namespace gateway
