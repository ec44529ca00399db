#pragma once

#include "operators/nodeview.h"
#include "serving/draftservice.h"
#include "serving/homeservice.h"
#include "serving/livefleet.h"
#include "serving/nodecontext.h"
#include "serving/router.h"

/// Implements the operators' view of this node. Not thread safe: use it only on the node's single thread.
class daemon_view : public operators::node_view {
public:
    /// Preconditions: all arguments outlive this object.
    daemon_view(serving::node_context& context, serving::live_fleet& fleet, serving::home_service& home,
        serving::router& routes, serving::draft_service& drafts);

    operators::fleet_status status() override;
    boost::asio::awaitable<std::vector<operators::explain_step>> explain(
        operators::explain_query query) override;
    boost::asio::awaitable<operators::spread_status> waitInForce(
        utils::config_revision revision, utils::duration limit) override;
    boost::asio::awaitable<std::vector<operators::draft_status>> drafts(utils::team_id team) override;

private:
    void addNodes(operators::fleet_status& status, utils::time_point now) const;
    void addServers(operators::fleet_status& status, utils::time_point now) const;
    void addQueues(operators::fleet_status& status) const;
    std::vector<operators::explain_step> explainChat(const operators::explain_query& query) const;
    std::string stateOf(
        const config::server_pool& pool, const config::backend_server& server, utils::time_point now) const;

    serving::node_context& m_context;
    serving::live_fleet& m_fleet;
    serving::home_service& m_home;
    serving::router& m_router;
    serving::draft_service& m_drafts;
};
