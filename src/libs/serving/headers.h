#pragma once

#include "backendexchange.h"
#include "tracer.h"

#include "decisions/poisonregister.h"
#include "wire/forwardmessages.h"

#include <string_view>
#include <vector>

namespace serving {

/// Whether a header speaks about one connection only and is not passed on. Thread safe.
bool isHopByHop(std::string_view name);
/// Whether a header of a caller goes on to the backend server; the team's key never does. Thread safe.
bool isPassedToBackend(std::string_view name);
/// The value of the first header of that name, case ignored; empty if there is none. Thread safe.
std::string_view findHeader(const std::vector<wire::header_line>& headers, std::string_view name);
/// What is sent to the backend server for a forwarded request. Thread safe.
backend_request makeBackendRequest(
    const wire::forward_request& request, std::string_view address, const trace_context& trace);
/// Digest that names the request for poison strikes, the same however often its caller sends it. Thread safe.
decisions::body_digest digestOf(const wire::forward_request& request);

} // namespace serving
