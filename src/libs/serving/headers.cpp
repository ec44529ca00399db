#include "headers.h"

#include "decisions/priority.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>

namespace serving {

namespace {

template <std::size_t Size>
bool isOneOf(const std::array<std::string_view, Size>& names, std::string_view name)
{
    return std::ranges::any_of(names, [&](std::string_view n) { return boost::beast::iequals(n, name); });
}

} // namespace

bool isHopByHop(std::string_view name)
{
    constexpr std::array<std::string_view, 7> names { "connection", "keep-alive", "proxy-connection", "te",
        "trailer", "transfer-encoding", "upgrade" };
    return isOneOf(names, name);
}

bool isPassedToBackend(std::string_view name)
{
    constexpr std::array<std::string_view, 6> own { "authorization", "host", "content-length", "expect",
        "traceparent", "x-request-id" };
    return !isHopByHop(name) && !isOneOf(own, name);
}

std::string_view findHeader(const std::vector<wire::header_line>& headers, std::string_view name)
{
    const auto line = std::ranges::find_if(
        headers, [&](const wire::header_line& h) { return boost::beast::iequals(h.name, name); });
    return line == headers.end() ? std::string_view() : std::string_view(line->value);
}

backend_request makeBackendRequest(
    const wire::forward_request& request, std::string_view address, const trace_context& trace)
{
    backend_request message { request.method, request.target, std::string(address), request.headers,
        request.body };
    const auto priority = static_cast<decisions::priority_class>(request.priority);
    message.headers.push_back({ "traceparent", formatTraceparent(trace) });
    message.headers.push_back({ "X-Request-Id", request.requestId });
    message.headers.push_back({ "X-Calling-Team", request.team.str() });
    message.headers.push_back({ "X-Priority", std::string(decisions::toString(priority)) });
    if (!request.idempotencyKey.empty())
        message.headers.push_back({ "Idempotency-Key", request.idempotencyKey });
    return message;
}

decisions::body_digest digestOf(const wire::forward_request& request)
{
    std::string named = request.team.str();
    named.append("\n").append(request.method).append(" ").append(request.target).append("\n");
    named.append(request.body);
    return decisions::digestOf(named);
}

} // namespace serving
