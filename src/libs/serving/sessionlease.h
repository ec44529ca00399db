#pragma once

#include "keyvalue/kvclient.h"
#include "utils/time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <optional>

namespace serving {

/// The lease of this process in the platform: what hangs on it ends with the process. Counts its end from
/// when a renewal was sent, by this node's own clock, so that the holder stops before the platform does.
/// On the node's one thread.
class session_lease {
public:
    static constexpr std::chrono::seconds timeToLive { 12 };
    static constexpr std::chrono::seconds renewEvery { 4 };

    /// Precondition: the client outlives this. `onLost` is called when the lease has ended or may have.
    session_lease(
        boost::asio::any_io_executor executor, keyvalue::kv_client& kv, std::function<void()> onLost);

    /// The lease if it surely stands now, else 0.
    std::int64_t current(utils::time_point now) const;
    /// Grants or renews when due, and tells of a loss; call a few times a second.
    void tick(utils::time_point now);

private:
    boost::asio::awaitable<void> renew(utils::time_point startedAt);

    boost::asio::any_io_executor m_executor;
    keyvalue::kv_client& m_kv;
    std::function<void()> m_onLost;
    std::int64_t m_lease = 0;
    std::optional<utils::time_point> m_endsAt;
    utils::time_point m_nextRenewal;
    bool m_isRenewing = false;
};

} // namespace serving
