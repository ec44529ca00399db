#include "requestbuilder.h"

#include "chatrequest.h"
#include "headers.h"

#include "decisions/priority.h"
#include "utils/crypto.h"
#include "utils/hashing.h"

namespace serving {

namespace {

using utils::error_kind;
using utils::fail;

constexpr std::string_view chatPath = "/v1/chat/completions";
constexpr std::size_t idBytes = 16;
constexpr std::size_t longestIdempotencyKey = 255;

void setPriority(wire::forward_request& forward, decisions::priority_class priority)
{
    forward.priority = static_cast<std::uint8_t>(priority);
}

utils::result<void> checkApproval(
    const config::document& document, const config::calling_team& team, const config::server_pool& pool)
{
    if (document.isApproved(team.id, pool.id))
        return {};
    return fail(error_kind::NotApproved, "calling team " + team.id.str() + " at " + pool.id.str());
}

utils::result<void> fillChat(wire::forward_request& forward, const config::document& document,
    const config::calling_team& team, const caller_request& request)
{
    if (request.method() != boost::beast::http::verb::post)
        return fail(error_kind::MethodNotAllowed, "POST is expected");
    BOOST_LEAF_AUTO(chat, parseChatRequest(request.body(), team.id.str()));
    const config::server_pool* pool = document.poolForModel(chat.model);
    if (pool == nullptr)
        return fail(error_kind::UnknownModel, chat.model);
    BOOST_LEAF_CHECK(checkApproval(document, team, *pool));
    forward.pool = pool->id;
    forward.chat = chat.chat;
    forward.remainingUs = static_cast<std::uint64_t>(pool->maxWait.count());
    setPriority(forward, team.priority);
    return {};
}

utils::result<void> fillIdempotency(
    wire::forward_request& forward, const caller_request& request, bool isRouteIdempotent)
{
    const std::string_view key = findHeader(forward.headers, "idempotency-key");
    if (key.size() > longestIdempotencyKey)
        return fail(error_kind::MalformedRequest, "`Idempotency-Key`: at most 255 characters");
    const bool isRead = request.method() == boost::beast::http::verb::get
        || request.method() == boost::beast::http::verb::head;
    // A caller may mark its own request as one that must not run twice by giving it a key.
    forward.isIdempotent = isRouteIdempotent && (key.empty() || isRead);
    if (!forward.isIdempotent)
        forward.idempotencyKey = key.empty() ? newRequestId() : std::string(key);
    std::erase_if(forward.headers,
        [](const wire::header_line& h) { return boost::beast::iequals(h.name, "idempotency-key"); });
    return {};
}

utils::result<void> fillService(wire::forward_request& forward, const config::document& document,
    const config::calling_team& team, const caller_request& request)
{
    const auto match = document.routeFor(request.target());
    if (match.route == nullptr)
        return fail(error_kind::UnknownRoute, std::string(request.target()));
    BOOST_LEAF_CHECK(checkApproval(document, team, *match.pool));
    if (!match.route->methods.contains(std::string(request.method_string())))
        return fail(error_kind::MethodNotAllowed, std::string(request.method_string()));
    forward.pool = match.pool->id;
    forward.chat = utils::hash64(newRequestId());
    forward.remainingUs = static_cast<std::uint64_t>(match.route->timeout.count());
    setPriority(forward, match.route->priority);
    return fillIdempotency(forward, request, match.route->isIdempotent);
}

} // namespace

std::string newRequestId()
{
    const std::string bytes = utils::randomBytes(idBytes);
    return utils::toHex({ reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size() });
}

utils::result<const config::calling_team*> teamOf(
    const config::document& document, const caller_request& request)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view header = request[boost::beast::http::field::authorization];
    if (!header.starts_with(scheme))
        return fail(error_kind::UnknownTeam, "`Authorization: Bearer <key>` is expected");
    const config::calling_team* team = document.teamByKeyHash(utils::sha256Hex(header.substr(scheme.size())));
    if (team == nullptr)
        return fail(error_kind::UnknownTeam, {});
    return team;
}

utils::result<wire::forward_request> buildForwardRequest(
    const config::document& document, const config::calling_team& team, caller_request& request)
{
    wire::forward_request forward;
    forward.team = team.id;
    forward.revision = document.revision;
    forward.method = std::string(request.method_string());
    forward.target = std::string(request.target());
    for (const auto& field : request) {
        if (isPassedToBackend(field.name_string()))
            forward.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    }
    if (request.target() == chatPath)
        BOOST_LEAF_CHECK(fillChat(forward, document, team, request));
    else
        BOOST_LEAF_CHECK(fillService(forward, document, team, request));
    forward.body = std::move(request.body());
    return forward;
}

} // namespace serving
