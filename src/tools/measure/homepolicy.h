#pragma once

#include "enginebench.h"

#include "decisions/candidatewalk.h"
#include "decisions/homeledger.h"
#include "decisions/loadview.h"
#include "decisions/ranking.h"
#include "decisions/spilltable.h"

#include <array>
#include <deque>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace measure {

/// Parts of the policy that can be switched off, so that each one's worth shows in the same run.
struct home_policy_settings {
    bool remembers = true; ///< spill memory at the anchor
    double newChatShare = 0.25; ///< load_bound::newChatShare
    bool waitsForCache = true; ///< a returning chat waits for its cached prefix as long as a prefill takes
    bool asksFormerAnchor = true;
    bool exportsCache = true; ///< a leaving engine's hottest prefixes go to the next of their rankings
    bool sharesLoads = true; ///< requests and answers carry the loads met on the walk
    bool hearsEvictions = true; ///< cache events reach the home, late and with gaps
    bool usesLowestMean = true; ///< c applies to the lowest mean of the last seconds
    bool skipsLoaded = true; ///< the entry node asks servers last that it knows to be at the mean or above
    std::size_t digestEntries = 12;
    double bound = 0; ///< c in place of the workload's; 0: the workload's
    double draftWaitWorth = 10; ///< maxCacheWait's waitPerPrefillSecond for drafts
};

/// Placement by home nodes, made of the code that the daemon runs: the ranking, the walk, the ledgers at the
/// homes, the load views fed by digests, the spill memories.
class home_policy {
public:
    home_policy(engine_bench& bench, home_policy_settings settings);

    void arrive(std::size_t turn, utils::time_point now);
    void finished(std::size_t engine, std::size_t turn, utils::time_point now);
    void changed(const engine_event& event, utils::time_point now);
    void tick(utils::time_point now);
    void second(utils::time_point now);

    /// Homes asked, over all requests.
    std::uint64_t asks() const { return m_asks; }
    /// Largest number of chats that one node remembers.
    std::size_t largestMemory() const;

private:
    struct waiting_turn {
        std::size_t turn = 0;
        decisions::candidate_walk walk { {} };
        utils::time_point until;
        bool holdsCache = false;
        bool isPatience = false; ///< goes on along the walk when the time is up
    };

    /// One engine as its home node sees it.
    struct engine_home {
        std::size_t node = 0;
        decisions::home_ledger ledger;
        std::array<std::deque<waiting_turn>, 3> queues; ///< by class
        unsigned lastReport = 0;
    };

    struct router {
        decisions::load_view view;
        decisions::spill_table memory;
    };

    struct late_event {
        utils::time_point at;
        std::size_t engine;
        std::uint64_t chat;
    };

    void askLoadedLast(std::size_t node, std::vector<utils::server_id>& ranking, utils::time_point now);
    void walk(std::size_t turn, decisions::candidate_walk walk, utils::time_point now);
    bool ask(std::size_t turn, decisions::candidate_walk& walk, const decisions::ask_home& step,
        utils::time_point now);
    decisions::home_answer lookUp(std::size_t turn, const utils::server_id& anchor, utils::time_point now);
    void admitted(
        std::size_t turn, const decisions::candidate_walk& walk, std::size_t engine, utils::time_point now);
    decisions::admit_verdict tryAdmit(
        std::size_t engine, std::size_t turn, bool holdsCache, utils::time_point now);
    void pump(std::size_t engine, utils::time_point now);
    void giveUpExpired(std::size_t engine, utils::time_point now);
    void publish(std::size_t engine, utils::time_point now);
    void gossip(utils::time_point now);
    void rampUp(utils::time_point now);
    void exportCache(std::size_t engine, utils::time_point now);
    void deliverEvictions(utils::time_point now);
    std::size_t indexOf(const utils::server_id& id) const { return m_index.at(id); }
    decisions::load_bound bound() const;

    engine_bench* m_bench;
    home_policy_settings m_settings;
    std::vector<decisions::placement_server> m_servers;
    std::vector<decisions::placement_server> m_formerServers;
    std::optional<utils::time_point> m_changedAt;
    std::unordered_map<utils::server_id, std::size_t> m_index;
    std::vector<engine_home> m_homes;
    std::vector<router> m_routers;
    std::deque<late_event> m_evictions;
    std::mt19937_64 m_random { 11 };
    std::uint64_t m_asks = 0;
};

} // namespace measure
