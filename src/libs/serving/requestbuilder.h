#pragma once

#include "nodecontext.h"

#include "utils/result.h"
#include "wire/forwardmessages.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace serving {

using caller_request = boost::beast::http::request<boost::beast::http::string_body>;

/// Makes the request that travels to a home out of what a caller sent: model or route, approval, priority,
/// deadline, idempotency. Moves the body out of `request`. Failures are final answers, each before anything
/// has left. Precondition: a document is in force. Thread safe against an unchanging document.
utils::result<wire::forward_request> buildForwardRequest(
    const config::document& document, const config::calling_team& team, caller_request& request);

/// The calling team of `Authorization: Bearer`; UnknownTeam if there is none. Thread safe.
utils::result<const config::calling_team*> teamOf(
    const config::document& document, const caller_request& request);

/// A new request id, 32 hexadecimal digits. Thread safe.
std::string newRequestId();

} // namespace serving
