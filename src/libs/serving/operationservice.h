#pragma once

#include "batchedkv.h"
#include "homeservice.h"
#include "retentionlease.h"

#include "keyvalue/kvclient.h"
#include "operations/operation.h"
#include "utils/statechart.h"

namespace serving {

/// Runs non-idempotent requests at the home of their backend server: admits them like any other, then lets
/// the operation's machine decide. On the node's one thread.
class operation_service {
public:
    /// Preconditions: all outlive this; the chart passed operations::operation::checkChart.
    operation_service(node_context& context, home_service& home, keyvalue::kv_client& kv, batched_kv& writes,
        const utils::state_chart& chart);

    /// Runs the request at most once, or passes on the answer of its earlier sending.
    template <answer_sink Sink>
    boost::asio::awaitable<attempt_result> serve(wire::forward_request request, Sink& sink);

private:
    operations::operation_request makeOperation(
        const wire::forward_request& request, std::int64_t lease) const;

    node_context& m_context;
    home_service& m_home;
    batched_kv& m_writes;
    const utils::state_chart& m_chart;
    retention_lease m_lease;
    std::uint64_t m_boot;
};

} // namespace serving
