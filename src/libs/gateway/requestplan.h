#pragma once

#include "messages.h"
#include "nodecontext.h"

#include "utils/result.h"

#include <optional>
#include <set>
#include <string>

namespace gateway {

/// Where a request goes and by which rules, as the configuration in force says when it arrives.
struct request_plan {
    catalogue::configuration_ptr configuration; ///< keeps `route` alive
    const catalogue::route* route = nullptr;
    std::string service;
    bool isEngine = false; ///< the service's backend servers are model engines
    std::uint64_t cacheTokens = 0; ///< of an engine
    bool copiesPrompts = false; ///< engines copy parts from each other faster than they read them
    std::string workspace; ///< empty for a public route
    int urgency = 0; ///< 0 is the most urgent, see configuration::urgencyOf
    decisions::body_digest digest; ///< of what would crash a server again
    std::vector<decisions::prompt_part> parts; ///< of the prompt
    std::uint32_t promptTokens = 0;
    utils::time_point deadline {};
    utils::time_point callerDeadline {};
};

/// Looks route, key and service up. Fails with UnknownRoute, UnknownTeam, NodeNotCurrent, ShuttingDown or
/// ServerFailed (the request has crashed backend servers).
utils::result<request_plan> planRequest(
    node_context& context, const client_request& request, utils::time_point now);

/// Chooses a backend server for the plan among those not tried yet; nothing when there is none.
std::optional<decisions::placement> chooseServer(node_context& context, const request_plan& plan,
    const std::set<utils::server_id>& tried, std::uint64_t salt, utils::time_point now);

/// A refusal for overload, with what decided it.
struct overload_refusal {
    decisions::refusal refusal;
    decisions::shed_query query;
    utils::duration limit {}; ///< of the time in queues
};

/// The refusal of a request that has not been sent and would wait too long at the chosen server; nothing when
/// it should be sent.
std::optional<overload_refusal> refuseOverload(node_context& context, const client_request& request,
    const request_plan& plan, const decisions::placement& chosen, utils::time_point now);

/// An engine from which another should copy.
struct copy_source {
    const catalogue::backend_server* server = nullptr; ///< null when there is none
    std::uint32_t tokens = 0; ///< that need not be read then
};

/// The engine from which the chosen one should copy what it lacks of the prompt.
/// Precondition: `chosen` is in the directory.
copy_source copySource(const node_context& context, const request_plan& plan,
    const catalogue::backend_server& chosen, utils::time_point now);

/// How long an attempt may stay silent before it is tried elsewhere, though its server is heard.
utils::duration firstResponseTimeout(const request_plan& plan);
utils::duration eventGapTimeout(const request_plan& plan);
/// The urgency by which a server lets the request pass others: plain services know none.
int queueUrgency(const request_plan& plan);
/// Whether there is an elsewhere for a request that was sent and has perhaps run.
bool mayRetryElsewhere(const request_plan& plan);

/// When a refused caller should come back.
utils::duration retryAfterFor(utils::error_kind kind, std::uint64_t salt);

/// Other nodes and requests must know of a crash: strikes against all that ran there.
void recordCrash(node_context& context, const utils::server_id& server, utils::time_point now);

} // namespace gateway
