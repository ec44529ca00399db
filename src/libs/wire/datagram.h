#pragma once

#include "shortserialization.h"
#include "varint.h"

#include "utils/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace wire {

/// A node's name in four bytes, for lists that name many nodes.
using node_tag = std::uint32_t;
/// Thread safe.
node_tag tagOf(const utils::node_id& node);

enum class datagram_kind : std::uint8_t {
    Ping,
    Ack,
    ProbeRequest, ///< asks the receiver to probe `subject`
    RelayedAck, ///< `subject` answered the receiver's request
    Announce, ///< news that should not wait for the next probe
    Count_
};

/// What a node believes of another, in the order in which a later one wins at the same incarnation.
enum class member_state : std::uint8_t {
    Listed, ///< in the VM list, never heard
    Alive,
    Leaving, ///< alive, but takes nothing new
    Suspect,
    Dead,
    Left,
    Count_
};

/// A change of a member, as it travels on probes.
struct member_update {
    utils::node_id id;
    member_state state = member_state::Alive;
    std::uint32_t incarnation = 0;
    std::string address; ///< "ip:port"; empty unless Alive or Leaving
    std::string dataCentre; ///< as address

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

/// State of a member without its address, for nodes that join and have the VM list.
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

/// Proof that a witness was reached not longer ago than `age`.
struct evidence {
    node_tag node = 0;
    std::uint8_t age = 0; ///< in units of `ageUnitMs`, rounded up
    std::uint8_t revisionLag = 0; ///< how far it was behind the sender's known revision, up to unknownLag

    static constexpr unsigned ageUnitMs = 100;
    static constexpr unsigned unknownLag = 255;
    static constexpr std::size_t size = 6;

    template <class Archive> void serialize(Archive& archive) { archive(node, age, revisionLag); }
};

/// What a digest entry is about.
enum class digest_kind : std::uint8_t {
    PoolLoad,
    HomeLoad,
    PoisonStrike,
    TeamUsage,
    Count_
};

/// One small fact of one node; the newest version per (kind, origin, key) wins.
struct digest_entry {
    digest_kind kind = digest_kind::PoolLoad;
    node_tag origin = 0;
    varint version;
    std::uint8_t ageSeconds = 0;
    std::string key;
    std::string value; ///< opaque to the fleet

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

enum class handover_kind : std::uint8_t {
    Claim, ///< "I am the server's home in my view: do you admit for it?"
    Grant, ///< "I admit nothing more; so many requests of mine still run"
    Refuse, ///< "I am its home and rank above you"
    Drain, ///< "of the granted ones, so many still run"
    Count_
};

/// One step in the move of a backend server's home.
struct handover_item {
    handover_kind kind = handover_kind::Claim;
    std::string server;
    varint round; ///< of the claimant; answers repeat it
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

/// Everything that nodes tell each other by UDP. Unused lists cost one byte each.
struct datagram {
    datagram_kind kind = datagram_kind::Ping;
    utils::node_id sender;
    varint bootId; ///< grows from one start of the sender to the next
    varint sequence; ///< filled in by the codec
    std::uint64_t nonce = 0; ///< of the probe; an answer repeats it
    std::uint32_t incarnation = 0; ///< the sender's
    member_state senderState = member_state::Alive;
    varint revisionInForce;
    varint revisionKnown;
    utils::node_id subject; ///< ProbeRequest and RelayedAck: the probed node
    member_state believedState = member_state::Alive; ///< what the sender believes of the receiver
    varint believedIncarnation; ///< 0 unless it needs refuting
    bool wantsMembers = false; ///< a joining node asks for `briefs` beyond `memberCursor`
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
