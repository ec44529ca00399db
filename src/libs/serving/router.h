#pragma once

#include "homeservice.h"
#include "operationservice.h"
#include "peerpool.h"

#include "decisions/candidatewalk.h"

#include <vector>

namespace serving {

/// The entry node's part: ranks the backend servers for a request, brings it to the home of one after the
/// other, and passes the answer on. On the node's one thread.
class router {
public:
    /// Preconditions: all outlive this.
    router(node_context& context, home_service& home, operation_service& operations, peer_pool& peers);

    /// Precondition: the pool is in the configuration and the team approved; the caller's part of the
    /// request is filled in, the rest is set here for each candidate.
    template <answer_sink Sink>
    boost::asio::awaitable<attempt_result> route(wire::forward_request request, Sink& sink);

    /// The servers for a chat, best first, with the home of each.
    struct candidate {
        utils::server_id server;
        std::optional<utils::node_id> home;
    };
    std::vector<candidate> candidatesFor(const config::server_pool& pool, std::uint64_t chat) const;

private:
    template <answer_sink Sink>
    boost::asio::awaitable<attempt_result> attempt(wire::forward_request& request, Sink& sink);
    template <answer_sink Sink>
    boost::asio::awaitable<attempt_result> forward(
        const utils::node_id& home, const wire::forward_request& request, Sink& sink);
    bool checkPoison(wire::forward_request& request, attempt_result& result) const;
    void noteCrash(const wire::forward_request& request, const attempt_result& result);
    bool mayGoOn(const wire::forward_request& request, const attempt_result& result, unsigned attempts,
        utils::time_point deadline);
    void tellAnchor(const wire::forward_request& request, const utils::server_id& anchor);
    std::optional<utils::node_id> homeOf(const utils::pool_id& pool, const utils::server_id& server) const;

    node_context& m_context;
    home_service& m_home;
    operation_service& m_operations;
    peer_pool& m_peers;
};

} // namespace serving
