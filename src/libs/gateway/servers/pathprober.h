#pragma once

#include "gateway/nodecontext.h"

#include <boost/asio/awaitable.hpp>

namespace gateway {

/// Opens connections to backend servers without a request, to find out whether this node reaches them. Not
/// thread safe.
class path_prober {
public:
    /// Precondition: the context outlives this object and the event loop's last turn.
    explicit path_prober(node_context& context)
        : m_context(context)
    {
    }

    /// Starts the probes that are due at `now`.
    void tick(utils::time_point now);

private:
    boost::asio::awaitable<void> probe(utils::server_id server);

    node_context& m_context;
};

} // namespace gateway
