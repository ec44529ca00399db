#pragma once

#include "decisions/homeledger.h"
#include "decisions/loadview.h"
#include "decisions/ranking.h"

#include <cstdint>
#include <random>
#include <vector>

/// Simulated nodes, engines and network in virtual time. Runs the placement code of several nodes under
/// disagreeing membership views, lost messages, pauses, crashed nodes and flapping engines.
class placement_fleet {
public:
    /// Violations of the invariants, counted at every dispatch and every step, and related counts.
    struct findings {
        unsigned dispatches = 0;
        unsigned dispatchesOverBound = 0; ///< above c x the mean of the largest loads of the last 5 s
        unsigned dispatchesOverSlots = 0;
        unsigned stepsWithTwoHolders = 0;
        unsigned samples = 0;
        unsigned samplesOverBound = 0; ///< max/mean above c
        double worstRatio = 0; ///< largest max/mean over samples with at least minMean requests per engine
        unsigned refused = 0;
    };

    placement_fleet(unsigned nodes, unsigned engines, double bound, std::uint64_t seed);

    static constexpr utils::duration stepLength = std::chrono::milliseconds(100);
    void step();
    void run(utils::duration length);

    /// Sets the requests per second over all entry nodes; each runs for 5 to 15 s.
    void setRate(double requestsPerSecond) { m_rate = requestsPerSecond; }
    /// Switches the handover off, so that a new home dispatches at once; shows that the tests detect its
    /// absence.
    void skipHandover() { m_skipsHandover = true; }
    void pause(unsigned node, utils::duration length);
    void kill(unsigned node);
    void restart(unsigned node);
    /// Removes `node` from `viewer`'s list of VMs for that time.
    void hide(unsigned viewer, unsigned node, utils::duration length);
    void crashEngine(unsigned engine);
    void restartEngine(unsigned engine);
    /// Whether every running engine has a node that holds it.
    bool allHeld() const;

    const findings& found() const { return m_found; }

private:
    struct request {
        std::uint64_t ticket;
        unsigned node;
        utils::time_point end;
    };
    struct engine_state {
        decisions::placement_server server;
        bool isUp = true;
        utils::time_point joinedAt { -std::chrono::hours(1) };
        std::vector<request> running;
        std::vector<unsigned> reports; ///< load at each step, the latest last
    };
    struct node_state {
        utils::node_id id;
        bool isAlive = true;
        bool isCurrent = true;
        utils::time_point pausedUntil;
        utils::time_point lastActive;
        std::vector<utils::time_point> hiddenUntil;
        std::vector<decisions::home_ledger> ledgers;
        decisions::load_view view;
    };

    bool isActive(unsigned node) const;
    std::vector<utils::node_id> viewOf(unsigned node) const;
    std::vector<utils::node_id> listOf(unsigned node) const;
    unsigned indexOf(const utils::node_id& id) const;
    std::vector<decisions::home_ledger> freshLedgers(const utils::node_id& id) const;
    decisions::fleet_state stateOf(unsigned node);
    double poolWeight() const;
    double largestRecentLoad() const;
    double trueMean() const;
    double weightOf(const engine_state& engine) const;
    void finishRequests();
    void resume(unsigned node);
    void forgetDeadHolders(unsigned node);
    void claimHomes(unsigned node);
    void exchangeDigests();
    void deliverReports();
    void arrive();
    bool tryHome(unsigned entry, unsigned engine);
    void checkDispatch(const engine_state& engine);
    void checkStep();

    double m_bound;
    std::mt19937_64 m_random;
    utils::time_point m_now { std::chrono::hours(1) };
    unsigned m_steps = 0;
    double m_rate = 0;
    double m_due = 0;
    bool m_skipsHandover = false;
    std::uint64_t m_tickets = 0;
    std::vector<engine_state> m_engines;
    std::vector<node_state> m_nodes;
    findings m_found;
};
