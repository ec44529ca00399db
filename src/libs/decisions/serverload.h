#pragma once

#include "utils/ids.h"
#include "utils/time.h"

#include <cstdint>
#include <map>
#include <span>
#include <unordered_map>
#include <vector>

namespace decisions {

/// In-flight requests of one node at one backend server.
struct load_share {
    std::uint32_t requests = 0;
    std::uint32_t promptTokens = 0; ///< awaiting prefill, of requests whose answer has not begun

    template <class Archive> void serialize(Archive& archive) { archive(requests, promptTokens); }
};

/// In-flight requests of all nodes at one backend server, as far as this node knows.
struct load_total {
    std::uint32_t requests = 0;
    std::uint32_t promptTokens = 0;
    utils::duration age {}; ///< age of the oldest data counted; zero when only this node's share is counted
    std::uint32_t peerRequests = 0; ///< the part of the requests that peers have told
    bool isReported = false; ///< the server itself has reported its load lately, which covers all nodes
};

/// Loads of backend servers: this node's exact share, the shares last received from its peers, and the loads
/// that the servers report with their answers.
///
/// Load: many nodes send to the same few engines. With only its own count, each node sends its bursts to the
/// server that looks idle to it, and the loads of the servers differ by multiples of the mean. Not thread
/// safe.
class server_loads {
public:
    /// Lifetime of a peer's shares: four of its heartbeats, so that two may be lost.
    static constexpr utils::duration peerLifetime = std::chrono::milliseconds(1200);
    /// Lifetime of a server's report: after this time about as many requests have started and finished as it
    /// counted.
    static constexpr utils::duration reportLifetime = std::chrono::milliseconds(600);
    /// Peers heard within this time count as live. Of 300 nodes that each reach ten others four times a
    /// second, three in four are heard.
    static constexpr utils::duration liveTime = std::chrono::seconds(10);
    /// A fleet up to this size hears each of its heartbeats.
    static constexpr std::size_t fullyHeardPeers = 10;

    void started(const utils::server_id& server, std::uint32_t promptTokens);
    /// Records that the answer has begun, so the prompt's prefill is finished.
    void answered(const utils::server_id& server, std::uint32_t promptTokens);
    /// Precondition: a matching started() came before, and answered() if the prefill was finished.
    void finished(const utils::server_id& server);
    /// Records the server's report of its running and waiting requests.
    void recordReport(
        const utils::server_id& server, std::uint32_t running, std::uint32_t waiting, utils::time_point now);
    /// Replaces the shares of a peer by those that it sent.
    void updatePeer(const utils::node_id& peer, const std::map<utils::server_id, load_share>& shares,
        utils::time_point now);

    /// Returns this node's own share.
    load_share own(const utils::server_id& server) const;
    /// Returns the sum over all nodes; at least the load of the server's own report while that is fresh.
    load_total total(const utils::server_id& server, utils::time_point now) const;
    /// Returns by how much the requests that peers have told have to be multiplied to stand for all live
    /// peers. In a large fleet a peer's heartbeats reach some nodes only, and the shares of most are not
    /// known. 1 up to `fullyHeardPeers` live peers.
    double peerScale(utils::time_point now) const;
    /// Returns the largest number of prompt tokens awaiting prefill that one peer has there. The lengths of
    /// the peer's single prompts are not known; its longest is at most this.
    std::uint32_t maxPeerPromptTokens(const utils::server_id& server, utils::time_point now) const;
    /// Returns this node's non-zero shares, to be sent to its peers.
    std::map<utils::server_id, load_share> ownShares() const;

private:
    struct peer_share;
    std::span<const peer_share> peerSharesAt(const utils::server_id& server) const;
    void removePeerShare(const utils::server_id& server, const utils::node_id& peer);

    struct report_state {
        std::uint32_t requests = 0;
        std::uint32_t ownAtReport = 0; ///< this node's share of `requests` when the report came
        utils::time_point at {};
    };
    struct peer_share {
        utils::node_id peer;
        load_share share;
        utils::time_point at {};
    };

    std::unordered_map<utils::server_id, load_share> m_own;
    std::unordered_map<utils::server_id, report_state> m_reports;
    /// The shares of the peers by server: a choice looks at every server of a service, and a fleet has as
    /// many nodes as engines.
    std::unordered_map<utils::server_id, std::vector<peer_share>> m_peerShares;
    struct peer_state {
        std::vector<utils::server_id> servers; ///< where it has a share
        utils::time_point at {};
    };
    std::map<utils::node_id, peer_state> m_peers;
};

} // namespace decisions
