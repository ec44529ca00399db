#pragma once

#include "utils/ids.h"
#include "utils/time.h"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace decisions {

/// What one node has under way at one backend server.
struct load_share {
    std::uint32_t requests = 0;
    std::uint32_t promptTokens = 0; ///< yet to be read, of requests whose answer has not begun

    template <class Archive> void serialize(Archive& archive) { archive(requests, promptTokens); }
};

/// What all nodes have under way at one backend server, as this node knows it.
struct load_total {
    std::uint32_t requests = 0;
    std::uint32_t promptTokens = 0;
    utils::duration age {}; ///< of the oldest word that is counted; zero for this node's own part alone
};

/// Loads of backend servers as this node knows them: its own share exactly, those of its peers as they last
/// told, and what the servers themselves tell on their answers.
///
/// Load: many nodes send to the same few engines. With its own count alone each node sends its bursts to
/// the server that looks idle to it, and the servers differ by a multiple of the mean. Not thread safe.
class server_loads {
public:
    /// A share that a peer told is counted for so long: four of its beats, so that two may be lost.
    static constexpr utils::duration peerLifetime = std::chrono::milliseconds(1200);
    /// What a server told is believed for so long: then as much has come and gone as it told of.
    static constexpr utils::duration reportLifetime = std::chrono::milliseconds(600);

    void started(const utils::server_id& server, std::uint32_t promptTokens);
    /// The answer has begun: the prompt is read.
    void answered(const utils::server_id& server, std::uint32_t promptTokens);
    /// Precondition: as many started() came before, and answered() if the prompt was read.
    void finished(const utils::server_id& server);
    /// The server told that so many requests run and wait there.
    void recordReport(
        const utils::server_id& server, std::uint32_t running, std::uint32_t waiting, utils::time_point now);
    /// A peer told its shares; they replace those that it told before.
    void updatePeer(const utils::node_id& peer, const std::map<utils::server_id, load_share>& shares,
        utils::time_point now);

    /// This node's own part.
    load_share own(const utils::server_id& server) const;
    /// All nodes' parts together; at least what the server told lately.
    load_total total(const utils::server_id& server, utils::time_point now) const;
    /// The most that one peer has there to be read: more than its longest prompt is not known of.
    std::uint32_t maxPeerPromptTokens(const utils::server_id& server, utils::time_point now) const;
    /// This node's shares that are not zero, for its peers.
    std::map<utils::server_id, load_share> ownShares() const;

private:
    struct report_state {
        std::uint32_t requests = 0;
        std::uint32_t ownAtReport = 0; ///< of them this node's
        utils::time_point at {};
    };
    struct peer_state {
        std::map<utils::server_id, load_share> shares;
        utils::time_point at {};
    };

    std::unordered_map<utils::server_id, load_share> m_own;
    std::unordered_map<utils::server_id, report_state> m_reports;
    std::map<utils::node_id, peer_state> m_peers;
};

} // namespace decisions
