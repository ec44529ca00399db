#pragma once

#include "callerwriter.h"
#include "nodecontext.h"
#include "requestbuilder.h"

#include <boost/asio/awaitable.hpp>

namespace serving {

class draft_service;

/// The callers' side of drafts over HTTP:
///
///     POST /v1/chat/completions with `Prefer: respond-async`   202 and the draft's id, once it is durable
///     GET /v1/drafts/<id>                                       its state, and the answer once it is there
///     DELETE /v1/drafts/<id>                                    ends a waiting draft
///
/// On the node's one thread.
class draft_endpoint {
public:
    /// Preconditions: both outlive this.
    draft_endpoint(node_context& context, draft_service& drafts);

    /// Whether the request is one for this endpoint. Thread safe.
    static bool concerns(const caller_request& request);
    /// Answers it for the team.
    boost::asio::awaitable<void> answer(
        const config::calling_team& team, caller_request request, caller_writer& writer);

private:
    boost::asio::awaitable<void> submit(
        const config::calling_team& team, caller_request request, caller_writer& writer);
    boost::asio::awaitable<void> poll(
        const config::calling_team& team, std::string id, bool isCancel, caller_writer& writer);

    node_context& m_context;
    draft_service& m_drafts;
};

} // namespace serving
