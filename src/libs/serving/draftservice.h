#pragma once

#include "batchedkv.h"
#include "nodecontext.h"
#include "retentionlease.h"
#include "router.h"
#include "sessionlease.h"

#include "operations/draft.h"
#include "operations/draftscanner.h"
#include "utils/statechart.h"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>
#include <set>

namespace serving {

class draft_host;

/// What a caller or operator may see of a draft.
struct draft_reply {
    std::optional<operations::draft_record> record;
    utils::failure failure; ///< when there is no record
};

/// Accepts drafts, runs them, adopts those whose node is gone, and answers who polls.
/// On the node's one thread.
class draft_service {
public:
    /// Preconditions: all outlive this; the chart passed operations::draft::checkChart.
    draft_service(node_context& context, router& routes, keyvalue::kv_client& kv, batched_kv& writes,
        const utils::state_chart& chart);
    ~draft_service();

    /// The outcome of a submission: an id once the draft is durable, else why not.
    struct acceptance {
        std::string id;
        std::optional<utils::failure> refusal;
    };
    boost::asio::awaitable<acceptance> submit(operations::draft_request request);
    /// Reads a draft of the team, from the platform, so any node can.
    boost::asio::awaitable<draft_reply> read(utils::team_id team, std::string id);
    /// Ends a waiting draft; the record as it stands afterwards.
    boost::asio::awaitable<draft_reply> cancel(utils::team_id team, std::string id);
    /// The drafts kept for a team.
    boost::asio::awaitable<std::vector<operations::draft_record>> list(utils::team_id team);
    /// Scans for drafts without a worker, and keeps the lease; call a few times a second.
    void tick(const std::vector<utils::node_id>& liveNodes, utils::time_point now);
    /// Gives all claims back.
    void leave(utils::time_point now);
    std::size_t running() const { return m_hosts.size(); }

private:
    friend class draft_host;

    std::shared_ptr<draft_host> makeHost(std::int64_t answerLease);
    boost::asio::awaitable<void> scan(operations::scan_shard shard);
    void removeHost(draft_host* host);

    node_context& m_context;
    router& m_router;
    keyvalue::kv_client& m_kv;
    batched_kv& m_writes;
    const utils::state_chart& m_chart;
    operations::draft_settings m_settings;
    operations::draft_scanner m_scanner;
    retention_lease m_answerLease;
    session_lease m_session;
    std::set<std::shared_ptr<draft_host>> m_hosts;
};

} // namespace serving
