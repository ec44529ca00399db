#pragma once

#include "eventloop.h"
#include "playtypes.h"

#include "decisions/hedgepolicy.h"
#include "decisions/outlierejector.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace loadplay {

/// Plays callers against the queues of one pool's servers in virtual time.
///
/// Callers give up when their patience ends; whoever is told when to come back comes back once (drafts as
/// often as it takes). With and without safeguards a caller's leaving is noticed at once, so that the
/// comparison shows the deciding code alone. Not thread safe.
class queue_play {
public:
    queue_play(const workload& load, const play_safeguards& safeguards);

    /// Plays all of it and tells what callers got.
    play_outcome run();

private:
    struct caller {
        const play_request* request = nullptr;
        utils::time_point calledAt;
        unsigned calls = 0;
        bool isDone = false;
        std::set<decisions::entry_id> attempts; ///< queued or running
    };
    struct attempt {
        std::size_t caller = 0;
        std::size_t server = 0;
        std::optional<utils::time_point> startedAt;
    };

    utils::server_id serverName(std::size_t server) const;
    class_outcome& outcomeOf(const caller& of);
    void call(std::size_t who);
    void giveUp(std::size_t who, unsigned callNumber);
    void refuse(std::size_t who, const decisions::refusal& reason);
    bool send(std::size_t who, std::size_t server, decisions::refusal& reason);
    void planHedge(std::size_t who);
    void hedge(std::size_t who, unsigned callNumber);
    std::size_t chooseServer(std::optional<std::size_t> besides);
    double slowdownOf(std::size_t server) const;
    void pump(std::size_t server);
    void start(decisions::entry_id id);
    void finish(decisions::entry_id id);
    void dropAttempts(std::size_t who);
    void dropExpired(std::size_t server);
    void planExpiry(std::size_t server);

    const workload* m_load;
    play_safeguards m_safeguards;
    event_loop m_loop;
    std::vector<decisions::fair_queue> m_queues;
    decisions::outlier_ejector m_ejector;
    decisions::hedge_policy m_hedges;
    std::vector<caller> m_callers;
    std::map<decisions::entry_id, attempt> m_attempts;
    decisions::entry_id m_nextId = 1;
    std::size_t m_nextServer = 0;
    play_outcome m_outcome;
};

} // namespace loadplay
