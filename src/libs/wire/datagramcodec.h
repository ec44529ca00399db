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
    BadCode, ///< not signed with a valid key, or addressed to another node
    Malformed,
    OwnName, ///< claims to come from this node
    Replayed,
    Count_
};

/// Name of the reason in metrics, e.g. "bad_code". Thread safe.
std::string_view toString(drop_reason reason);

/// Encodes and decodes datagrams: an HMAC, then cereal's portable binary archive. The HMAC is verified first,
/// so that unauthenticated bytes never reach the decoder. Not thread safe.
class datagram_codec {
public:
    /// Maximum size in bytes. Fits into one Ethernet frame also with tunnel headers: with fragmentation one
    /// lost fragment would lose the whole datagram.
    static constexpr std::size_t maxSize = 1200;

    /// `bootId` must be larger than that of the node's earlier processes, e.g. the wall clock at start.
    datagram_codec(peer_keys keys, utils::node_id self, std::uint64_t bootId);

    /// Encodes and signs `message` for `receiver`, with sender, boot id and sequence filled in. Empty if the
    /// result would exceed maxSize.
    std::string encode(datagram message, const utils::node_id& receiver);
    /// Verifies and decodes a datagram. Returns std::nullopt and counts the reason if it is dropped. Safe for
    /// any input.
    std::optional<datagram> decode(std::string_view bytes);
    /// Number of datagrams dropped for `reason`. Precondition: `reason` is not Count_.
    std::uint64_t dropped(drop_reason reason) const { return m_dropped.at(static_cast<std::size_t>(reason)); }
    /// Discards the replay window of a node that is no longer a member.
    void forget(const utils::node_id& node) { m_windows.erase(node); }

    /// Decodes a payload without its authentication code; for the fuzz target. Thread safe.
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
