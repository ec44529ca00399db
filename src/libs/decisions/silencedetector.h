#pragma once

#include "utils/ids.h"
#include "utils/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace decisions {

/// Detects backend servers that send nothing at all while requests wait there.
///
/// Load: a server that stops responding without closing its connections. Writes to it still succeed, so each
/// request of each node waits there until its caller leaves, for as long as the outage lasts. A server that
/// runs sends data all the time: events of other streams, other answers. Receiving nothing for longer than a
/// first byte takes therefore indicates a failed server long before a single request's wait does, as that
/// request may be queued behind others. An engine that prefills a long prompt and runs nothing else is given
/// the time that the prefill takes. New requests go to other servers until data arrives again; no request is
/// ended by this alone, so a false positive only costs some cache affinity. Not thread safe.
class silence_detector {
public:
    /// Limit for a plain service, as a fraction of the route's target for a first byte: a request that is
    /// then sent to another server can still be on time.
    static constexpr double plainTargetShare = 0.6;
    /// The same for an engine.
    static constexpr double engineTargetShare = 1.0;
    /// Smallest limit: the slowest 1 % of short answers take some 300 ms.
    static constexpr utils::duration minLimit = std::chrono::milliseconds(400);

    /// Returns how long a server may send nothing while a request with that target waits.
    static utils::duration limitFor(utils::duration target, bool isEngine);

    /// Records that a request was sent. The server may send nothing for `prefill`, the time that it takes to
    /// process the prompt. Precondition: `requestId` is new.
    void requestSent(const utils::server_id& server, std::uint64_t requestId, utils::duration limit,
        utils::duration prefill, utils::time_point now);
    /// Records that data arrived from the server.
    void dataReceived(const utils::server_id& server, utils::time_point now);
    /// Records that the request's prefill is finished.
    void prefillFinished(const utils::server_id& server, std::uint64_t requestId);
    /// Records that the request has ended, with or without success.
    void requestEnded(const utils::server_id& server, std::uint64_t requestId);

    /// Whether the server has sent nothing for too long. `peerPrefill`: time for the prefill of prompts that
    /// other nodes have sent there.
    bool isSilent(const utils::server_id& server, utils::time_point now,
        utils::duration peerPrefill = utils::duration::zero()) const;
    /// Returns the time since data arrived from the server; nothing when no request is in flight there, or
    /// none has brought data yet.
    std::optional<utils::duration> quietFor(const utils::server_id& server, utils::time_point now) const;
    /// How long nothing has arrived from a server where requests are in flight.
    struct quiet_time {
        utils::server_id server;
        utils::duration time {}; ///< since its last data, or since the first of these requests was sent
        bool hasSentData = false;
    };
    /// Returns the quiet times of all servers where requests are in flight.
    std::vector<quiet_time> quietTimes(utils::time_point now) const;
    /// Returns when data last arrived; the epoch when no request is in flight there.
    utils::time_point lastHeard(const utils::server_id& server) const;
    /// Returns the longest prefill time of the requests whose prefill is not finished.
    utils::duration longestPrefill(const utils::server_id& server) const;

private:
    struct waiting_request {
        utils::time_point sentAt {};
        utils::duration limit {};
        utils::duration prefill {};
    };
    struct server_state {
        utils::time_point heardAt {};
        std::map<std::uint64_t, waiting_request> waiting;
    };
    std::map<utils::server_id, server_state> m_servers;
};

} // namespace decisions
