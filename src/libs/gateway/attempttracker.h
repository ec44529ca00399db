#pragma once

#include "attempt.h"
#include "requestplan.h"

namespace gateway {

/// One request's use of one backend server, as the node accounts for it: loads, silence, health, suspects of
/// a crash, placements. begin() and end() frame it; not thread safe.
class attempt_tracker {
public:
    /// Precondition: both outlive this. `number` names the request on this node.
    attempt_tracker(node_context& context, const request_plan& plan, std::uint64_t number)
        : m_context(context)
        , m_plan(plan)
        , m_number(number)
    {
    }

    /// The request is about to be sent there. `unreadTokens` of its prompt the server is thought to lack;
    /// `placement` says what was known when it was chosen.
    void begin(const catalogue::backend_server& server, std::uint32_t unreadTokens,
        const decisions::placement& placement, utils::time_point now);
    /// Something of the response came.
    void dataReceived(utils::time_point now);
    /// The response shows that the prompt is read.
    void prefillDone();
    /// The first event of a stream came.
    void firstEventReceived(utils::time_point now);
    /// The attempt is over; `status` of the response, if there was one.
    void end(attempt_outcome outcome, int status, utils::time_point now);

    /// Silence counts from now on.
    void restartTimeout(utils::time_point now) { m_lastReceivedAt = now; }
    /// When the attempt is to be given up, as things stand: the request hears nothing for `limit` or for as
    /// long as its prompt and those before it may take, or nothing at all is heard of the server for as long
    /// as makes it suspect.
    utils::time_point timeoutAt(utils::duration limit, utils::time_point now) const;

    /// Since something of the response came, or since the request was sent; zero before that.
    utils::duration silentFor(utils::time_point now) const;

private:
    /// A whole response tells how long requests of its kind occupy a slot.
    void learnOccupancy(bool isShort, utils::time_point now);

    node_context& m_context;
    const request_plan& m_plan;
    std::uint64_t m_number;
    utils::server_id m_server;
    utils::time_point m_sentAt {};
    utils::time_point m_lastReceivedAt {};
    utils::time_point m_firstEventAt {};
    utils::duration m_serverSilence {};
    std::uint32_t m_unreadTokens = 0; ///< of the prompt, as thought when it was sent
    std::uint32_t m_tokensAhead
        = 0; ///< read by the server before the response, those of this prompt included
    utils::duration m_latestResponse {}; ///< after the sending; zero once the response has begun
    bool m_hasSlot = false; ///< none was waiting for one when the request was sent
    bool m_isPromptPending = false;
    std::uint32_t m_heldTokens = 0; ///< of the prompt, thought to be held before it was sent
    decisions::server_candidate m_candidate;
};

} // namespace gateway
