#pragma once

#include "answersink.h"
#include "backendpool.h"
#include "homeslot.h"
#include "nodecontext.h"

#include <boost/asio/awaitable.hpp>

namespace serving {

/// Finds out whether a backend server crashed under requests whose connection broke there. Those that broke
/// within one burst become suspects if nothing listens at its address afterwards. Not thread safe.
class crash_probe {
public:
    /// Precondition: both outlive this.
    crash_probe(node_context& context, backend_pool& connections);

    /// A connection to the slot's server broke under that request; starts a probe unless one runs.
    /// Precondition: the slot outlives the probe.
    void note(home_slot& slot, const utils::pool_id& pool, const utils::server_id& server,
        const decisions::body_digest& digest);
    /// Waits for the probe that runs, and writes what it found into the result.
    /// Precondition: the slot outlives the wait.
    boost::asio::awaitable<void> waitFor(home_slot& slot, attempt_result& result);

private:
    boost::asio::awaitable<void> probe(home_slot& slot, utils::pool_id pool, utils::server_id server);
    /// The server's address in the configuration in force; empty when it has none.
    std::string addressOf(const utils::pool_id& pool, const utils::server_id& server) const;
    /// Names the crash after the server and the time.
    void noteCrash(
        home_slot& slot, const utils::server_id& server, const std::vector<decisions::body_digest>& suspects);

    node_context& m_context;
    backend_pool& m_connections;
};

} // namespace serving
