#pragma once

#include "prefixindex.h"
#include "responsetimes.h"
#include "serverload.h"

#include "utils/ids.h"
#include "utils/time.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace decisions {

/// A backend server that may be chosen.
struct server_candidate {
    utils::server_id id;
    std::string dataCentre;
    unsigned slots = 1;
    double weight = 1; ///< part of its normal load that it should get, 0 to 1
    std::uint64_t cacheTokens = 0; ///< 0 for a plain service
    std::uint64_t startedAtMs = 0; ///< tells two lives of a server apart: a new one holds nothing
    double recentFailures = 0; ///< requests that failed there in the last seconds, see recent_failures
};

/// Tells other nodes where shared parts of a prompt were sent.
struct placement_update {
    std::string server;
    std::uint64_t startedAtMs = 0;
    std::vector<prompt_part> parts;
    bool isWithdrawn = false; ///< they were not read there after all
};

/// What is to be placed.
struct placement_query {
    std::span<const prompt_part> parts; ///< of the prompt, shared ones first; empty for a plain service
    std::uint32_t promptTokens = 0;
    std::string dataCentre; ///< of this node
    std::uint64_t salt = 0; ///< orders equal candidates; differs from request to request
    int urgency = 0; ///< 0 is the most urgent
    utils::duration target = std::chrono::seconds(1); ///< in which the answer should begin
    response_times times = response_times(); ///< of the service
};

/// An engine from which another can copy parts of a prompt in place of reading them.
struct cache_source {
    utils::server_id server;
    std::uint32_t tokens = 0; ///< that it is thought to hold beyond what the copying one holds
};

/// The chosen server and the figures that decided, for the log.
struct placement {
    utils::server_id server;
    load_total load; ///< of all nodes there, before this request
    std::uint32_t heldTokens = 0; ///< of the prompt, thought to be held there
    double cost = 0; ///< of the chosen one: seconds of an engine, running requests of a plain service
};

/// Chooses a backend server for a request by the work that the request would wait for there.
///
/// Load: prompts with long shared parts over a dozen engines, with hot parts and bursts. By load alone each
/// engine reads each shared part; by affinity alone the engine of a hot part falls behind. So a
/// server's cost is counted in seconds: for the prompt tokens that wait there, for those of this prompt that
/// it does not hold, for a slot, and for what each request that runs there takes of the engine's steps. Not
/// thread safe.
class server_choice {
public:
    /// A server above this multiple of the mean load, plus `boundExtra`, is passed over: a little below where
    /// it counts as overloaded (twice the mean, and three), since loads of peers are some ms old.
    static constexpr double boundFactor = 1.8;
    static constexpr double boundExtra = 2.8;
    /// What a token to be read costs against one that waits to be read there: a short wait is within every
    /// target, while a part that is read twice takes the time of all that run there, and memory.
    static constexpr double prefillCostFactor = 8;
    /// What all requests of a full engine cost a new one, as a part of the time that it will take: each makes
    /// every step a little longer.
    static constexpr double fullEngineSlowdown = 0.03;
    /// Part of the shared tokens that the first engine of their ranking is thought to hold where none is
    /// known to: nodes rank alike, so one that knows nothing finds what others have sent. Where a holder is
    /// known the ranking says nothing: engines that came later are first of some rankings and hold nothing.
    static constexpr double presumedHeldShare = 0.8;
    /// For a plain service: what a crossing between data centres costs, in parts of a running request. The
    /// bytes between data centres are paid for; a queue is worse.
    static constexpr double crossDataCentreCost = 0.6;
    /// For a plain service: what a recent failure costs, in running requests. A running request costs little
    /// while there are slots, a failed one all that it is worth; at full slots the queue is worse.
    static constexpr double failureCost = 1.5;
    /// What a recent failure of an engine costs, as a part of the target, up to `maxPenalty`.
    static constexpr double penaltyPerFailure = 0.03;
    static constexpr double maxPenalty = 0.3;
    /// Distrust of an engine of which hardly anything is known since it was left out, as a part of the
    /// target.
    static constexpr double rampUpPenalty = 0.3;
    /// Engines above this multiple of the mean load, plus `highLoadExtra`, are not preferred for the distrust
    /// of others: all nodes prefer the same few then, and each knows the loads of the others a quarter of a
    /// second late.
    static constexpr double highLoadFactor = 1.2;
    static constexpr double highLoadExtra = 1;

    /// Nothing when there is no candidate of a weight above zero.
    std::optional<placement> choose(const std::vector<server_candidate>& candidates,
        const placement_query& query, const server_loads& loads, utils::time_point now) const;
    /// The holder from which the chosen engine should copy shared parts of the prompt that it lacks; nothing
    /// when none holds enough more. `holders` may include engines that take no requests any more.
    std::optional<cache_source> sourceFor(const server_candidate& chosen,
        const std::vector<server_candidate>& holders, std::span<const prompt_part> parts) const;
    /// A request with these parts was sent there.
    void recordSent(const server_candidate& server, std::span<const prompt_part> parts);
    /// The request ended before its prompt was read; `heldTokens` of it were held before it was sent. What
    /// came after them is not held, and whoever reads it there next needs the time to do so.
    void recordWithdrawn(
        const server_candidate& server, std::span<const prompt_part> parts, std::uint32_t heldTokens);
    /// Another node has sent a request with these parts there, or withdraws it.
    void applyUpdate(const placement_update& update, std::uint64_t cacheTokens);
    /// What other nodes should learn, once; bounded.
    std::vector<placement_update> takeUpdates();

    /// Fewer tokens are read in about the time that it takes to begin a copy.
    static constexpr std::uint32_t minCopyTokens = 500;
    /// Notes kept for the next beat: as many requests with shared parts as a busy node sends between two.
    static constexpr std::size_t maxUpdates = 24;
    /// Shared parts below this are not told: reading them takes a few ms, telling them to all costs more.
    static constexpr std::uint32_t minUpdateTokens = 200;

private:
    std::optional<placement> choosePlain(const std::vector<server_candidate>& candidates,
        const placement_query& query, const server_loads& loads, utils::time_point now) const;
    std::optional<placement> chooseEngine(const std::vector<server_candidate>& candidates,
        const placement_query& query, const server_loads& loads, utils::time_point now) const;
    /// What is known of an engine that may be chosen.
    struct engine_view {
        const server_candidate* candidate = nullptr;
        load_total load;
        std::uint32_t heldTokens = 0; ///< of the prompt, as far as this node knows
        double penalty = 0; ///< as a part of the target
        bool isInBound = false;
    };
    std::vector<engine_view> viewEngines(const std::vector<server_candidate>& candidates,
        const placement_query& query, const server_loads& loads, utils::time_point now) const;
    /// The engine that most likely holds the shared parts when none is known to: the first of their ranking
    /// within the bound. Null when one is known.
    static const server_candidate* presumedHolder(
        const std::vector<engine_view>& views, const placement_query& query);
    /// Marks the engines above the bound, and evens the distrust of the crowded ones out.
    static void boundEngines(std::vector<engine_view>& views, double mean);
    static double costOf(const engine_view& view, const placement_query& query, double heldTokens);
    std::uint32_t heldTokens(const server_candidate& server, std::span<const prompt_part> parts) const;
    void addUpdate(const server_candidate& server, std::span<const prompt_part> parts, bool isWithdrawn);
    prefix_index& prefixesOf(
        const utils::server_id& server, std::uint64_t startedAtMs, std::uint64_t cacheTokens);

    struct server_prefixes {
        std::uint64_t startedAtMs = 0;
        prefix_index parts;
    };
    std::unordered_map<utils::server_id, server_prefixes> m_prefixes;
    std::vector<placement_update> m_updates;
};

} // namespace decisions
