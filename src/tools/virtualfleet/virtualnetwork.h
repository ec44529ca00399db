#pragma once

#include "utils/ids.h"
#include "utils/time.h"

#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <vector>

namespace virtualfleet {

/// How datagrams fare between nodes.
struct network_options {
    double loss = 0.05; ///< of each datagram, each way
    utils::duration nearDelay = std::chrono::microseconds(300); ///< within a data centre
    utils::duration farDelay = std::chrono::microseconds(3500); ///< between data centres
    utils::duration jitter = std::chrono::milliseconds(2); ///< added evenly, up to this
};

/// Virtual time, and links that lose, delay and can be cut one way. Not thread safe.
class virtual_network {
public:
    virtual_network(network_options options, std::uint64_t seed);

    utils::time_point now() const { return m_now; }
    /// Runs `event` at that time.
    void at(utils::time_point when, std::function<void()> event);
    /// Runs everything due until then.
    void runUntil(utils::time_point end);

    /// Cuts or mends the way from one node to another.
    void setCut(const utils::node_id& from, const utils::node_id& to, bool isCut);
    /// Cuts every way between nodes of different islands; mends all others.
    void split(const std::vector<std::vector<utils::node_id>>& islands);
    void mendAll() { m_cuts.clear(); }
    bool isCut(const utils::node_id& from, const utils::node_id& to) const;
    /// The delay of a datagram sent now, or nothing when it is lost.
    std::optional<utils::duration> delay(
        const utils::node_id& from, const utils::node_id& to, bool isSameDataCentre);
    void setLoss(double loss) { m_options.loss = loss; }

private:
    struct scheduled {
        utils::time_point when;
        std::uint64_t order;
        std::function<void()> event;
    };
    struct later {
        bool operator()(const scheduled& first, const scheduled& second) const
        {
            return std::tie(first.when, first.order) > std::tie(second.when, second.order);
        }
    };

    network_options m_options;
    std::mt19937_64 m_random;
    utils::time_point m_now {};
    std::uint64_t m_order = 0;
    std::priority_queue<scheduled, std::vector<scheduled>, later> m_events;
    std::set<std::pair<utils::node_id, utils::node_id>> m_cuts;
};

} // namespace virtualfleet
