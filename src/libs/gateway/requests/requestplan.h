#pragma once

#include "gateway/nodecontext.h"
#include "messages.h"

#include "utils/result.h"

#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace gateway {

/// The destination of a request and the rules that apply to it, by the configuration in force on its arrival.
struct request_plan {
    catalogue::configuration_ptr configuration; ///< keeps `route` alive
    const catalogue::route* route = nullptr;
    std::string service;
    bool isEngine = false; ///< the service's backend servers are model engines
    std::uint64_t cacheTokens = 0; ///< KV cache size of an engine
    bool copiesPrompts = false; ///< copying KV cache between engines is faster than prefilling
    std::optional<catalogue::cold_start_traits> coldStart; ///< of the service
    std::string workspace; ///< empty for a public route
    std::optional<std::set<std::string>> regions; ///< where it may run; nothing: anywhere
    int urgency = 0; ///< 0 is the most urgent, see configuration::urgencyOf
    /// What may crash servers about the request, see decisions::suspectsOf.
    std::vector<decisions::prompt_part> suspects;
    std::vector<decisions::prompt_part> parts; ///< of the prompt; the last one is the request's own
    std::uint32_t promptTokens = 0;
    std::optional<std::uint32_t> outputHint; ///< output tokens as the caller estimates them
    utils::time_point deadline {}; ///< of this node: the earlier of the timeouts of the route and the caller
    utils::time_point callerDeadline {};

    /// The parts of the prompt that other requests may have, too.
    std::span<const decisions::prompt_part> sharedParts() const
    {
        return std::span(parts).first(parts.empty() ? 0 : parts.size() - 1);
    }
};

/// Looks up route, API key and service. Fails with UnknownRoute, UnknownTeam, NodeNotCurrent or ShuttingDown.
utils::result<request_plan> planRequest(
    node_context& context, const client_request& request, utils::time_point now);

/// Whether the request may run in, or take cached data from, a data centre: one in a region that the route
/// and the workspace both allow. A data centre whose region is not known is in none. Thread safe.
bool isAllowedIn(const request_plan& plan, const node_options& options, const std::string& dataCentre);

/// The software version that a request is bound to, because its caller has events of it; nothing: any
/// version.
using bound_version = std::optional<decisions::version_key>;

/// Whether the request may be sent to this server now: the server is usable, of the version that the request
/// is bound to, in an allowed region, does not rest and, if it is cold, this node may send to it. To be asked
/// again right before bytes go out.
bool maySendTo(node_context& context, const request_plan& plan, const catalogue::backend_server& server,
    const bound_version& version, utils::time_point now);

/// How a choice was made, for its explanation.
struct choice_trace {
    std::vector<decisions::candidate_cost> costs; ///< of the servers that might get the request
    std::set<utils::server_id> silent; ///< left out, since they seem to be down and others do not
};

/// What the choice of a server depends on besides the plan.
struct choice_constraints {
    const std::set<utils::server_id>& tried; ///< not to be chosen again
    bound_version version;
    std::uint64_t salt = 0; ///< orders equal candidates
    /// A suspect part of the prompt: its requests go to one server, the same from all nodes.
    std::optional<std::uint64_t> suspectPart {};
    std::uint32_t crowdPlace = 0; ///< see decisions::placement_query
    choice_trace* trace = nullptr; ///< filled if there is one; the choice then leaves no trace elsewhere
};

/// Chooses a backend server; nullopt when there is none.
std::optional<decisions::placement> chooseServer(node_context& context, const request_plan& plan,
    const choice_constraints& constraints, utils::time_point now);

/// Returns when the first server may get requests of this node again, where all those that may take the
/// request want none for now; nothing if one of them does not rest, or if there is none.
std::optional<utils::time_point> earliestRestEnd(
    node_context& context, const request_plan& plan, const bound_version& version, utils::time_point now);

/// Whether a server of that version has an entry and does not drain.
bool isVersionServed(const node_context& context, const request_plan& plan, decisions::version_key version);

/// What decides whether a request is refused because of overload.
struct overload_forecast {
    decisions::shed_query query;
    utils::duration limit {}; ///< accepted time in queues
    decisions::admission_share admission;
    double work = 0; ///< slot seconds that the request is expected to take
    bool mustWaitTooLong = false;
};
/// A refusal because of overload, with the values that decided it.
struct overload_refusal {
    decisions::refusal refusal;
    overload_forecast forecast;
};

/// Decides whether to refuse a request that has not been sent yet because others are to have the room that
/// there is, or because it would wait too long at the chosen server; nullopt when it should be sent.
std::optional<overload_refusal> refuseOverload(node_context& context, const client_request& request,
    const request_plan& plan, const decisions::placement& chosen, utils::time_point now);

/// The forecast by which refuseOverload() decides, without counting the request.
overload_forecast forecastOverload(node_context& context, const client_request& request,
    const request_plan& plan, const decisions::placement& chosen, utils::time_point now);

/// An engine from which another one copies the KV cache of a prompt.
struct copy_source {
    const catalogue::backend_server* server = nullptr; ///< null when there is none
    std::uint32_t tokens = 0; ///< prompt tokens that need no prefill then
};

/// Returns the engine from which `chosen` should copy the part of the prompt that it does not have in its KV
/// cache. Precondition: `chosen` is in the directory.
copy_source copySource(node_context& context, const request_plan& plan,
    const catalogue::backend_server& chosen, utils::time_point now);

/// Returns how long an attempt may receive no data before it is retried on another server, while its server
/// still sends data on other requests.
utils::duration firstResponseTimeout(const request_plan& plan);
/// The same between two events of a stream.
utils::duration eventGapTimeout(const request_plan& plan);
/// Returns the urgency by which the server orders its queue. Plain services have no priorities: their
/// requests all count as least urgent.
int queueUrgency(const request_plan& plan);

/// Returns the time after which a refused caller should retry, with jitter by `salt`.
utils::duration retryAfterFor(utils::error_kind kind, std::uint64_t salt);

} // namespace gateway
