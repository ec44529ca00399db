#pragma once

#include "enginebench.h"

#include "decisions/ranking.h"

#include <random>
#include <vector>

namespace measure {

/// What the simple policies share: they place at once and never queue; a turn without an engine is refused.
/// Engines are known as the document and the health checks show them, with no delay.
class simple_policy {
public:
    explicit simple_policy(engine_bench& bench);

    void finished(std::size_t, std::size_t, utils::time_point) { }
    void changed(const engine_event& event, utils::time_point now);
    void tick(utils::time_point) { }
    void second(utils::time_point) { }

protected:
    engine_bench& bench() { return *m_bench; }
    const std::vector<std::size_t>& open() const { return m_open; }
    std::mt19937_64& random() { return m_random; }
    /// Dispatches, or refuses when no engine is open.
    void place(std::size_t turn, std::size_t engine, utils::time_point now);
    bool refuseIfNone(std::size_t turn);
    /// Counts reading every engine's load report once, for every router.
    void countReports();
    std::vector<decisions::placement_server> servers() const;

private:
    void listOpen();

    engine_bench* m_bench;
    std::vector<std::size_t> m_open;
    std::mt19937_64 m_random { 7 };
};

/// Any engine.
class random_policy : public simple_policy {
public:
    using simple_policy::simple_policy;
    void arrive(std::size_t turn, utils::time_point now);
};

/// Each router takes the engines in turn.
class round_robin_policy : public simple_policy {
public:
    explicit round_robin_policy(engine_bench& bench);
    void arrive(std::size_t turn, utils::time_point now);

private:
    std::vector<std::size_t> m_next;
};

/// The engine with the least load by reports of a second ago.
class least_loaded_policy : public simple_policy {
public:
    using simple_policy::simple_policy;
    void arrive(std::size_t turn, utils::time_point now);
    void second(utils::time_point) { countReports(); }
};

/// The least loaded engine by its load of this moment, which no router can know: how even loads can be.
class exact_least_policy : public simple_policy {
public:
    using simple_policy::simple_policy;
    void arrive(std::size_t turn, utils::time_point now);
};

/// The less loaded of two random engines, by reports of a second ago.
class two_choices_policy : public simple_policy {
public:
    using simple_policy::simple_policy;
    void arrive(std::size_t turn, utils::time_point now);
    void second(utils::time_point) { countReports(); }
};

/// The first of the chat's ranking, whatever its load.
class rendezvous_policy : public simple_policy {
public:
    explicit rendezvous_policy(engine_bench& bench);
    void arrive(std::size_t turn, utils::time_point now);
    void changed(const engine_event& event, utils::time_point now);

private:
    std::vector<decisions::placement_server> m_servers;
};

/// The first of the ranking within c x mean of what this router itself has in flight.
class local_bound_policy : public simple_policy {
public:
    explicit local_bound_policy(engine_bench& bench);
    void arrive(std::size_t turn, utils::time_point now);
    void finished(std::size_t engine, std::size_t turn, utils::time_point now);
    void changed(const engine_event& event, utils::time_point now);

private:
    struct router_counts {
        std::vector<unsigned> byEngine;
        unsigned total = 0;
    };

    std::vector<decisions::placement_server> m_servers;
    std::vector<router_counts> m_counts;
};

} // namespace measure
