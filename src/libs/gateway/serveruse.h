#pragma once

#include "attempt.h"
#include "requestplan.h"

namespace gateway {

/// One request's use of one backend server, as the node accounts for it: loads, silence, health, suspects of
/// a crash, placements. begin() and end() frame it; not thread safe.
class server_use {
public:
    /// Precondition: both outlive this. `number` names the request on this node.
    server_use(node_context& context, const request_plan& plan, std::uint64_t number)
        : m_context(context)
        , m_plan(plan)
        , m_number(number)
    {
    }

    /// The request is about to be sent there. `unreadTokens` of its prompt the server is thought to lack;
    /// `placement` says what was known when it was chosen.
    void begin(const catalogue::backend_server& server, std::uint32_t unreadTokens,
        const decisions::placement& placement, utils::time_point now);
    /// Something of the answer came.
    void heard(utils::time_point now);
    /// The answer shows that the prompt is read.
    void promptRead();
    /// The first event of a stream came.
    void firstEvent(utils::time_point now);
    /// The attempt is over; `status` of the answer, if there was one.
    void end(attempt_end end, int status, utils::time_point now);

    /// Silence counts from now on.
    void restartSilence(utils::time_point now) { m_heardAt = now; }
    /// When the attempt is to be given up, as things stand: the request hears nothing for `limit` or for as
    /// long as its prompt and those before it may take, or nothing at all is heard of the server for as long
    /// as makes it suspect.
    utils::time_point silentAt(utils::duration limit, utils::time_point now) const;

    /// Since something of the answer came, or since the request was sent; zero before that.
    utils::duration silentFor(utils::time_point now) const;

private:
    /// A whole answer tells how long requests of its kind occupy a slot.
    void learnOccupancy(bool isShort, utils::time_point now);

    node_context& m_context;
    const request_plan& m_plan;
    std::uint64_t m_number;
    utils::server_id m_server;
    utils::time_point m_sentAt {};
    utils::time_point m_heardAt {};
    utils::time_point m_firstEventAt {};
    utils::duration m_serverSilence {};
    std::uint32_t m_unreadTokens = 0; ///< of the prompt, as thought when it was sent
    std::uint32_t m_tokensAhead = 0; ///< read by the server before the answer, those of this prompt included
    utils::duration m_latestAnswer {}; ///< after the sending; zero once the answer has begun
    bool m_hasSlot = false; ///< none was waiting for one when the request was sent
    bool m_isPromptPending = false;
    std::uint32_t m_heldTokens = 0; ///< of the prompt, thought to be held before it was sent
    decisions::server_candidate m_candidate;
};

} // namespace gateway
