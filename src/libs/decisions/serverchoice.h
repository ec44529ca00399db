#pragma once

#include "partuse.h"
#include "prefixindex.h"
#include "responsetimes.h"
#include "serverload.h"

#include "utils/ids.h"
#include "utils/time.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace decisions {

/// A backend server that may be chosen.
struct server_candidate {
    utils::server_id id;
    std::string dataCentre;
    unsigned slots = 1;
    double weight = 1; ///< share of its normal load that it should get, 0 to 1
    std::uint64_t cacheTokens = 0; ///< capacity of its KV cache; 0 for a plain service
    std::uint64_t startedAtMs = 0; ///< start time; a restarted server has a new value and an empty cache
    double recentFailures = 0; ///< requests that failed there in the last seconds, see recent_failures
    double slowdown = 1; ///< how much longer than usual work takes there now, see server_pace
};

/// Message to other nodes: shared parts of a prompt were sent to a backend server, or withdrawn from it.
struct placement_update {
    std::string server;
    std::uint64_t startedAtMs = 0;
    std::vector<prompt_part> parts;
    bool isWithdrawn = false; ///< the request ended before the prefill finished, so they are not held
    bool isUnexpected = false; ///< the server is not the first of the parts' ranking, where other nodes look
};

/// The servers of a service that are no candidates, because their data centre is being emptied, they drain or
/// the request may not run there. Their load counts in the mean of the service.
struct excluded_servers {
    std::size_t count = 0;
    double requests = 0; ///< of all nodes, in progress there
};

/// The request to be placed.
struct placement_query {
    std::span<const prompt_part> parts; ///< of the prompt, shared ones first; empty for a plain service
    std::uint32_t promptTokens = 0;
    std::string dataCentre; ///< of this node
    std::uint64_t salt = 0; ///< breaks ties between equal candidates; differs from request to request
    int urgency = 0; ///< 0 is the most urgent
    utils::duration target = std::chrono::seconds(1); ///< time to the first byte of the answer
    response_times times = response_times(); ///< response times of the service
    excluded_servers excluded {};
    /// Place of the engine in the ranking for the shared parts, as the home of the part gave it out, see
    /// crowd_register; 0: the part is not in much use, or nothing is known.
    std::uint32_t crowdPlace = 0;
};

/// An engine from which another one can copy cached parts of a prompt instead of computing them (prefill).
struct cache_source {
    utils::server_id server;
    std::uint32_t tokens = 0; ///< estimate of what it holds beyond what the copying engine holds
};

/// Why a server was chosen.
enum class choice_reason : std::uint8_t {
    Cost, ///< the least cost of the servers within the bound
    Spread, ///< a shared part of the prompt is in much use at this node
    Crowd, ///< a shared part of the prompt is in much use at all nodes together
    AboveBound, ///< the least cost of all, since all are above the bound
    Count_
};

/// Name for logs, e.g. "cost". Thread safe.
std::string_view toString(choice_reason reason);

/// The bound on the load of an engine, as seen at a choice. All values are requests in progress.
struct bound_view {
    double load = 0; ///< of the chosen engine, with an estimate of the peers that were not heard
    double mean = 0; ///< of the service
    double bound = 0;
};

/// The chosen server and the figures behind the choice, for the log.
struct placement {
    utils::server_id server;
    load_total load; ///< load of the server from all nodes, before this request
    std::uint32_t heldTokens = 0; ///< estimate of the prompt tokens that the server holds in its cache
    double cost = 0; ///< of the chosen server: seconds for an engine, running requests for a plain service
    bool isUnexpected = false; ///< an engine that is not the first of the ranking for the shared parts
    std::optional<bound_view> view = std::nullopt; ///< of an engine
    choice_reason reason = choice_reason::Cost;
};

/// What a candidate would have cost, for the explanation of a choice.
struct candidate_cost {
    server_candidate candidate;
    load_total load; ///< from all nodes
    std::uint32_t heldTokens = 0; ///< estimate of the prompt tokens that it holds in its cache
    double cost = 0; ///< as in placement
    bool isInBound = true; ///< an engine above the bound on its load is chosen only when all are
};

/// Chooses a backend server for a request by the work that the request would wait for there.
///
/// Load: prompts with long shared parts over a dozen engines, with hot parts and bursts. Placement by load
/// alone makes each engine prefill each shared part; placement by cache affinity alone overloads the engine
/// that holds a hot part. An engine's cost is therefore the sum, in seconds, of: prefill of the prompt tokens
/// that wait there, prefill of this prompt's tokens that it does not hold, the wait for a slot, and the
/// slowdown of its steps by the requests that run there. Not thread safe.
class server_choice {
public:
    /// A server above this multiple of the mean load, plus `boundExtra`, is chosen only when all are.
    /// Slightly below the overload limit (twice the mean, plus three), since the loads of peers are some ms
    /// old.
    static constexpr double boundFactor = 1.8;
    static constexpr double boundExtra = 2.8;
    /// The least bound, as a multiple of the mean load of the candidates.
    static constexpr double evenFactor = 1.1;
    /// Cost of prefilling a token of this prompt, relative to a token of another prompt that waits there. A
    /// short wait is within every target, while a part that is prefilled on a second engine delays all
    /// requests that run there and takes memory.
    static constexpr double prefillCostFactor = 8;
    /// Cost that the requests of a full engine add to a new one, as a fraction of its expected duration: each
    /// running request makes every step slightly longer.
    static constexpr double fullEngineSlowdown = 0.03;
    /// Fraction of the shared tokens that the first engine of their ranking is presumed to hold when no
    /// engine is known to hold them. All nodes rank alike, so a node without information finds the engine to
    /// which others have sent the parts. When a holder is known, the ranking is ignored: engines that were
    /// added later are first in some rankings but hold nothing.
    static constexpr double presumedHeldShare = 0.8;
    /// For a plain service: cost of sending to another data centre, in running requests. Traffic between data
    /// centres is paid for, but a queue is worse.
    static constexpr double crossDataCentreCost = 0.6;
    /// For a plain service: cost of a recent failure, in running requests. A running request costs little
    /// while there are free slots, but a failed request is lost whole; when all slots are full the queue is
    /// worse.
    static constexpr double failureCost = 1.5;
    /// For a plain service: cost of work that takes twice its usual time, in running requests.
    static constexpr double slownessCost = 2;
    /// Cost of a recent failure of an engine, as a fraction of the target. All penalties of an engine
    /// together are at most `maxPenalty`.
    static constexpr double penaltyPerFailure = 0.03;
    static constexpr double maxPenalty = 0.3;
    /// Penalty of an engine whose weight still ramps up after an ejection, as a fraction of the target.
    /// Little is known about the engine since it was left out. Scales with the missing weight.
    static constexpr double rampUpPenalty = 0.3;
    /// Engines above this multiple of the mean load, plus `highLoadExtra`, get the largest penalty of all
    /// engines, so that the penalties of others do not make them preferred. Otherwise all nodes prefer the
    /// same few engines, while each node knows the loads from the other nodes a quarter of a second late.
    static constexpr double highLoadFactor = 1.2;
    static constexpr double highLoadExtra = 1;
    /// Requests with a part in much use that each engine of its spread should have, as a fraction of the mean
    /// load. Loads differ by chance where nodes hear of them late, so that little may be added to an engine.
    static constexpr double spreadFactor = 0.15;
    /// Requests with one part that an engine should get within crowd_register::window, as a fraction of the
    /// room between the mean load and the bound.
    static constexpr double crowdShare = 0.8;

    /// Returns nothing when no candidate has a weight above zero.
    /// `costs`: filled with those of all candidates of a weight above zero, unless null.
    std::optional<placement> choose(const std::vector<server_candidate>& candidates,
        const placement_query& query, const server_loads& loads, utils::time_point now,
        std::vector<candidate_cost>* costs = nullptr) const;
    /// Returns the holder from which the chosen engine should copy the shared parts that it lacks; nothing
    /// when no holder has at least minCopyTokens more. `holders` may include engines that no longer take
    /// requests.
    std::optional<cache_source> sourceFor(const server_candidate& chosen,
        const std::vector<server_candidate>& holders, std::span<const prompt_part> parts) const;
    /// Returns an engine that may hold the parts although nothing is known of that: the first of their
    /// ranking, where other nodes send them. Nothing if the chosen engine is the first, if it lacks few
    /// tokens, or if another engine is known to hold most of them; `knownTokens` are those of sourceFor(). A
    /// copy from an engine that holds nothing takes a few milliseconds.
    std::optional<utils::server_id> presumedSourceFor(const server_candidate& chosen,
        const std::vector<server_candidate>& holders, std::span<const prompt_part> parts,
        std::uint32_t knownTokens) const;
    /// Returns the key under which requests with these parts are counted as a crowd; nothing if their shared
    /// parts are too short to draw requests to one engine.
    static std::optional<std::uint64_t> crowdKey(std::span<const prompt_part> parts);
    /// Returns the requests with one part that an engine should get within crowd_register::window.
    static double crowdShareOf(const bound_view& view, const response_times& times);
    /// Records that a request with these parts was sent to the server. `isUnexpected` as in the placement
    /// that choose() returned.
    void recordSent(
        const server_candidate& server, std::span<const prompt_part> parts, bool isUnexpected = false);
    /// Records that a request with these parts is sent, wherever to: parts in much use are spread.
    void recordStarted(std::span<const prompt_part> parts, utils::time_point now);
    /// Records that the request ended. Precondition: a matching recordStarted() came before.
    void recordEnded(std::span<const prompt_part> parts);
    /// Records that a request ended before its prefill finished. `heldTokens` of its prompt were held before
    /// it was sent; the parts after them are no longer counted as held, so that the next request with these
    /// parts is given the time for their prefill.
    void recordWithdrawn(const server_candidate& server, std::span<const prompt_part> parts,
        std::uint32_t heldTokens, bool isUnexpected = false);
    /// Applies an update from another node. `cacheTokens`: cache capacity of the server that it names.
    void applyUpdate(const placement_update& update, std::uint64_t cacheTokens);
    /// Returns the pending updates for other nodes and clears them; at most maxUpdates.
    std::vector<placement_update> takeUpdates();

    /// Prefill of fewer tokens takes about as long as starting a copy.
    static constexpr std::uint32_t minCopyTokens = 500;
    /// A copy from an engine that is only presumed to hold the parts is tried for no fewer tokens than this:
    /// their prefill takes well longer than a copy of nothing.
    static constexpr std::uint32_t minPresumedTokens = 2000;
    /// Updates kept for the next heartbeat: the number of requests with shared parts that a busy node sends
    /// between two heartbeats.
    static constexpr std::size_t maxUpdates = 24;
    /// Shared parts with fewer tokens are not announced: their prefill takes a few ms, and announcing them to
    /// all nodes costs more.
    static constexpr std::uint32_t minUpdateTokens = 200;

private:
    std::optional<placement> choosePlain(const std::vector<server_candidate>& candidates,
        const placement_query& query, const server_loads& loads, utils::time_point now,
        std::vector<candidate_cost>* costs) const;
    std::optional<placement> chooseEngine(const std::vector<server_candidate>& candidates,
        const placement_query& query, const server_loads& loads, utils::time_point now,
        std::vector<candidate_cost>* costs) const;
    /// Requests in progress at an engine, in the mean.
    struct mean_loads {
        double ofCandidates = 0;
        double ofService = 0; ///< of the candidates and the excluded servers
    };
    /// State of an engine that may be chosen.
    struct engine_view {
        const server_candidate* candidate = nullptr;
        load_total load;
        double requests = 0; ///< estimate for all nodes, also those that were not heard
        std::uint32_t heldTokens = 0; ///< prompt tokens in its cache, as far as this node knows
        double penalty = 0; ///< as a fraction of the target
        bool isInBound = false;
    };
    /// The engines that may be chosen, and the mean load of all candidates.
    struct fleet_view {
        std::vector<engine_view> engines;
        double meanLoad = 0;
        double requests = 0; ///< of all candidates
        double boundedMean = 0; ///< the mean from which the bound counts
        double bound = 0;
    };
    fleet_view viewEngines(const std::vector<server_candidate>& candidates, const placement_query& query,
        const server_loads& loads, utils::time_point now) const;
    /// Returns the engine that most likely holds the shared parts when no engine is known to: the first one
    /// of their ranking that is within the bound. Null when a holder is known.
    static const server_candidate* presumedHolder(
        const std::vector<engine_view>& views, const placement_query& query);
    /// Returns an engine for a prompt whose shared parts are in so much use that one engine cannot take all
    /// requests with them; null otherwise. All nodes spread them alike over the first engines of the ranking,
    /// as many as their load needs, before any node can hear of the load that they bring. Only in a large
    /// fleet, whose nodes hear late of each other.
    const engine_view* engineOfSpread(const fleet_view& fleet, const placement_query& query,
        const server_loads& loads, utils::time_point now) const;
    /// Returns the engine at the query's place in the ranking of its shared parts, or the next one that may
    /// be chosen; null if the query has no place but the first, or there is no such engine.
    static const engine_view* engineOfCrowd(const fleet_view& fleet, const placement_query& query);
    /// Whether other nodes, which may not know what this one knows, look for the shared parts elsewhere: at
    /// the first engine of their ranking, be it out of use for the moment.
    static bool isUnexpected(const utils::server_id& server, const std::vector<server_candidate>& candidates,
        std::span<const prompt_part> parts);
    /// Marks the engines within the bound, and gives highly loaded engines the largest penalty of all.
    static void boundEngines(fleet_view& fleet);
    static placement placementAt(const engine_view& view, const fleet_view& fleet, choice_reason reason);
    static mean_loads meanLoads(double requests, std::size_t candidates, const excluded_servers& excluded);
    /// Returns the candidate that comes first in a ranking, whatever its weight; null if there is none.
    static const server_candidate* firstOfRanking(
        const std::vector<server_candidate>& candidates, std::uint64_t key);
    static double costOf(const engine_view& view, const placement_query& query, double heldTokens);
    std::uint32_t heldTokens(const server_candidate& server, std::span<const prompt_part> parts) const;
    void addUpdate(const server_candidate& server, std::span<const prompt_part> parts, bool isWithdrawn,
        bool isUnexpected);
    prefix_index& prefixesOf(
        const utils::server_id& server, std::uint64_t startedAtMs, std::uint64_t cacheTokens);

    struct server_prefixes {
        std::uint64_t startedAtMs = 0;
        prefix_index parts;
    };
    std::unordered_map<utils::server_id, server_prefixes> m_prefixes;
    std::vector<placement_update> m_updates;
    part_use m_partUse;
};

} // namespace decisions
