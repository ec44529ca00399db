#pragma once

#include "datagram.h"
#include "peerkeys.h"
#include "replaywindow.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace wire {

/// Why a datagram was dropped.
enum class drop_reason {
    TooLarge,
    TooShort,
    BadCode, ///< not signed with a valid key, or meant for another node
    Malformed,
    OwnName, ///< claims to come from this node
    Replayed,
    Count_
};

/// Name for metrics, e.g. "bad_code". Thread safe.
std::string_view toString(drop_reason reason);

/// Bytes to datagrams and back: HMAC first, then cereal's portable binary archive, so that bytes of
/// strangers never reach the decoder. Not thread safe.
class datagram_codec {
public:
    /// Fits one Ethernet frame through any tunnel: a lost fragment would lose the whole datagram.
    static constexpr std::size_t maxSize = 1200;

    /// `bootId` must be larger than that of the node's earlier processes, e.g. the wall clock at start.
    datagram_codec(peer_keys keys, utils::node_id self, std::uint64_t bootId);

    /// The signed bytes for `receiver`; fills in sender, boot id and sequence. Empty if they would exceed
    /// maxSize.
    std::string encode(datagram message, const utils::node_id& receiver);
    /// The datagram, or nothing, counted by reason. Survives any bytes.
    std::optional<datagram> decode(std::string_view bytes);
    /// How many were dropped for that reason. Precondition: reason is not Count_.
    std::uint64_t dropped(drop_reason reason) const { return m_dropped.at(static_cast<std::size_t>(reason)); }
    /// Forgets a node that is no longer a member.
    void forget(const utils::node_id& node) { m_windows.erase(node); }

    /// Decodes a payload without its code; for the fuzz target. Thread safe.
    static std::optional<datagram> decodePayload(std::string_view payload);

private:
    std::optional<datagram> drop(drop_reason reason);

    peer_keys m_keys;
    utils::node_id m_self;
    std::uint64_t m_bootId;
    std::uint64_t m_sequence = 0;
    std::unordered_map<utils::node_id, replay_window> m_windows;
    std::array<std::uint64_t, static_cast<std::size_t>(drop_reason::Count_)> m_dropped {};
};

} // namespace wire
