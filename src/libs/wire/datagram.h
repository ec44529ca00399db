#pragma once

#include "shortserialization.h"
#include "varint.h"

#include "utils/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace wire {

/// Hash of a node's name in four bytes, for lists of many nodes.
using node_tag = std::uint32_t;
/// The tag of `node`. Thread safe.
node_tag tagOf(const utils::node_id& node);

/// Type of a membership message.
enum class datagram_kind : std::uint8_t {
    Ping,
    Ack,
    ProbeRequest, ///< asks the receiver to probe `subject`
    RelayedAck, ///< `subject` answered the probe that the receiver requested
    Announce, ///< updates that should not wait for the next probe
    Count_
};

/// State of a member as another node knows it. At equal incarnation the state further down takes precedence.
enum class member_state : std::uint8_t {
    Listed, ///< in the VM list, not heard from yet
    Alive,
    Leaving, ///< alive, but accepts no new work
    Suspect,
    Dead,
    Left,
    Count_
};

/// A change of a member's state, piggybacked on probes.
struct member_update {
    utils::node_id id;
    member_state state = member_state::Alive;
    std::uint32_t incarnation = 0;
    std::string address; ///< "ip:port"; empty unless Alive or Leaving
    std::string dataCentre; ///< empty unless Alive or Leaving

    /// Bytes on the wire. Thread safe.
    std::size_t size() const;

    template <class Archive> void serialize(Archive& archive)
    {
        std::string name = id.str();
        detail::serializeShort(archive, name);
        id = utils::node_id(std::move(name));
        detail::serializeEnum(archive, state);
        archive(incarnation);
        detail::serializeShort(archive, address);
        detail::serializeShort(archive, dataCentre);
    }
};

/// State of a member without its address, for joining nodes, which have the addresses from the VM list.
struct member_brief {
    node_tag node = 0;
    member_state state = member_state::Alive;
    std::uint32_t incarnation = 0;

    static constexpr std::size_t size = 9;

    template <class Archive> void serialize(Archive& archive)
    {
        archive(node);
        detail::serializeEnum(archive, state);
        archive(incarnation);
    }
};

/// Evidence that the witness `node` was reached at most `age` ago.
struct evidence {
    node_tag node = 0;
    std::uint8_t age = 0; ///< in units of `ageUnitMs`, rounded up
    std::uint8_t revisionLag = 0; ///< revisions behind the sender's `revisionKnown`, at most unknownLag

    static constexpr unsigned ageUnitMs = 100;
    static constexpr unsigned unknownLag = 255;
    static constexpr std::size_t size = 6;

    template <class Archive> void serialize(Archive& archive) { archive(node, age, revisionLag); }
};

/// Subject of a digest entry.
enum class digest_kind : std::uint8_t {
    PoolLoad,
    HomeLoad,
    PoisonStrike,
    TeamUsage,
    Count_
};

/// One value published by one node; the newest version per (kind, origin, key) wins.
struct digest_entry {
    digest_kind kind = digest_kind::PoolLoad;
    node_tag origin = 0;
    varint version;
    std::uint8_t ageSeconds = 0;
    std::string key;
    std::string value; ///< opaque to the membership protocol

    /// Bytes on the wire. Thread safe.
    std::size_t size() const;

    template <class Archive> void serialize(Archive& archive)
    {
        detail::serializeEnum(archive, kind);
        archive(origin, version, ageSeconds);
        detail::serializeShort(archive, key);
        detail::serializeShort(archive, value);
    }
};

/// Message of the protocol that moves the home of a backend server from one node to another.
enum class handover_kind : std::uint8_t {
    Claim, ///< the sender is the server's home in its view; asks whether the receiver admits for it
    Grant, ///< the sender admits no more requests; `inFlight` of its own still run
    Refuse, ///< the sender is the server's home and ranks above the receiver
    Drain, ///< `inFlight` of the requests named in the grant still run
    Count_
};

/// One message about the move of a backend server's home.
struct handover_item {
    handover_kind kind = handover_kind::Claim;
    std::string server;
    varint round; ///< round number of the claimant, echoed in replies
    varint inFlight;

    /// Bytes on the wire. Thread safe.
    std::size_t size() const;

    template <class Archive> void serialize(Archive& archive)
    {
        detail::serializeEnum(archive, kind);
        detail::serializeShort(archive, server);
        archive(round, inFlight);
    }
};

/// The message that nodes exchange by UDP. Empty lists take one byte each.
struct datagram {
    datagram_kind kind = datagram_kind::Ping;
    utils::node_id sender;
    varint bootId; ///< increases with each start of the sender
    varint sequence; ///< filled in by the codec
    std::uint64_t nonce = 0; ///< identifies the probe; echoed in the reply
    std::uint32_t incarnation = 0; ///< the sender's
    member_state senderState = member_state::Alive;
    varint revisionInForce;
    varint revisionKnown;
    utils::node_id subject; ///< ProbeRequest and RelayedAck: the probed node
    member_state believedState = member_state::Alive; ///< state of the receiver as the sender knows it
    varint believedIncarnation; ///< 0 unless the receiver has to refute `believedState`
    bool wantsMembers = false; ///< a joining node requests `briefs` after `memberCursor`
    varint memberCursor; ///< a node_tag
    std::vector<member_update> updates;
    std::vector<member_brief> briefs;
    std::vector<evidence> heard;
    std::vector<digest_entry> digests;
    std::vector<handover_item> handovers;

    template <class Archive> void serialize(Archive& archive)
    {
        detail::serializeEnum(archive, kind);
        serializeId(archive, sender);
        archive(bootId, sequence, nonce, incarnation);
        detail::serializeEnum(archive, senderState);
        archive(revisionInForce, revisionKnown);
        serializeId(archive, subject);
        detail::serializeEnum(archive, believedState);
        archive(believedIncarnation, wantsMembers, memberCursor);
        detail::serializeShort(archive, updates);
        detail::serializeShort(archive, briefs);
        detail::serializeShort(archive, heard);
        detail::serializeShort(archive, digests);
        detail::serializeShort(archive, handovers);
    }

private:
    template <class Archive> static void serializeId(Archive& archive, utils::node_id& id)
    {
        std::string name = id.str();
        detail::serializeShort(archive, name);
        id = utils::node_id(std::move(name));
    }
};

} // namespace wire
