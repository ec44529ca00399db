#pragma once

#include "fleetview.h"
#include "homeservice.h"
#include "nodecontext.h"
#include "peerpool.h"

#include "fleet/fleetnode.h"
#include "fleet/udpendpoint.h"
#include "utils/statechart.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <set>

namespace serving {

/// This node in the fleet over the network: runs fleet::fleet_node on its socket, brings homes and their
/// handover to the ledgers, and lets loads and poison strikes ride on the probes.
/// On the node's one thread.
class live_fleet : public fleet_view {
public:
    /// Carries out what concerns the configuration; see fleet::fleet_action.
    using action_handler = std::function<void(const fleet::fleet_action&)>;

    /// Precondition: all outlive this. Throws boost::system::system_error when the address cannot be
    /// listened on.
    live_fleet(node_context& context, const utils::state_chart& chart, const std::vector<std::string>& keys,
        action_handler onAction);

    void start();
    void stop();
    /// Brings homes, loads and strikes up to date; call a few times a second.
    void tick(home_service& home, utils::time_point now);
    /// A document came into force: its servers get homes.
    void applyDocument(const config::document& document);
    /// Stops taking new work; `isLeft` turns true once all is handed over.
    void leave();
    bool isLeft() const { return m_isLeft; }
    /// Runs an event on the node; see fleet::udp_endpoint::with.
    void with(const std::function<void(fleet::fleet_node&, utils::time_point)>& event);
    /// Live nodes of the region, this one included.
    std::vector<utils::node_id> liveNodes() const;
    const fleet::fleet_node& node() const { return *m_node; }

    const utils::node_id& self() const override;
    std::optional<utils::node_id> homeOf(
        const utils::server_id& server, const utils::data_centre_id& dataCentre) const override;
    std::string addressOf(const utils::node_id& node) const override;
    boost::asio::awaitable<void> untilDead(utils::node_id node) override;
    bool isCurrent(utils::time_point now) const override;
    decisions::fleet_state stateFor(
        const utils::pool_id& pool, const utils::server_id& server, utils::time_point now) const override;

private:
    /// A wait for a node's death; in the frame of who waits.
    struct death_watch {
        utils::node_id node;
        boost::asio::steady_timer wake;
    };

    bool isDead(const utils::node_id& node) const;
    void wakeDeathWatches();
    void onAction(const fleet::fleet_action& action);
    void reportDrops();
    void followHandover(const utils::server_id& server, home_slot& slot, utils::time_point now);
    void publish(const home_service& home, utils::time_point now);
    void readDigests(utils::time_point now);
    void updateSkew(utils::time_point now);

    node_context& m_context;
    action_handler m_onAction;
    std::unique_ptr<fleet::fleet_node> m_node;
    std::unique_ptr<fleet::udp_endpoint> m_endpoint;
    std::map<utils::server_id, utils::pool_id> m_poolOf;
    utils::time_point m_publishedAt;
    fleet::fleet_counters m_counted;
    std::uint64_t m_dropsReported = 0;
    std::set<death_watch*> m_deathWatches;
    bool m_isLeft = false;
};

} // namespace serving
