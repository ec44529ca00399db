#pragma once

#include "store.h"

#include "decisions/poisonregister.h"
#include "decisions/recentfailures.h"
#include "decisions/serverchoice.h"
#include "decisions/serverload.h"

#include "wire/shortserialization.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gateway {

/// A node's part of the load of one backend server.
struct reported_share {
    std::string server;
    decisions::load_share share;

    template <class Archive> void serialize(Archive& archive)
    {
        wire::detail::serializeShort(archive, server);
        archive(share);
    }
};

/// Where shared parts of a prompt were sent.
struct reported_placement {
    decisions::placement_update note;

    template <class Archive> void serialize(Archive& archive)
    {
        wire::detail::serializeShort(archive, note.server);
        archive(note.startedAtMs);
        wire::detail::serializeShort(archive, note.parts);
        archive(note.isWithdrawn);
    }
};

/// Failures at a backend server since the last beat.
struct reported_failures {
    decisions::failure_update note;

    template <class Archive> void serialize(Archive& archive)
    {
        std::string server = note.server.str();
        wire::detail::serializeShort(archive, server);
        note.server = utils::server_id(server);
        archive(note.failures);
    }
};

/// The address of a node.
struct reported_address {
    std::string address; ///< "ip:port"

    template <class Archive> void serialize(Archive& archive)
    {
        wire::detail::serializeShort(archive, address);
    }
};

/// What a node tells its peers several times a second. Lists hold what fits: 255 entries.
struct peer_heartbeat {
    std::string node;
    std::string address; ///< "ip:port" of its peer listener
    std::uint64_t bootId = 0; ///< grows from one start of the node to the next
    std::uint64_t sequence = 0; ///< grows from beat to beat
    std::uint64_t configurationRevision = 0; ///< of the store, of the configuration in force; 0: none
    std::uint64_t serversRevision = 0; ///< of the last change of the backend servers that it knows
    std::uint32_t evidenceAgeMs = 0; ///< since it last knew that its configuration is the newest
    bool isLeaving = false;
    bool followsStore = false; ///< hears of changes from the store itself, as far as it knows
    bool isSettled = false; ///< follows the store, and no entry is missing there for an outage
    bool omitsLists = false; ///< the lists below are left out: they tell nothing
    std::vector<reported_share> shares;
    std::vector<decisions::poison_strike> strikes;
    std::vector<reported_placement> placements; ///< made since the last beat
    std::vector<reported_failures> failures; ///< since the last beat
    std::vector<reported_address> peerAddresses; ///< some other nodes

    /// The same without its lists.
    peer_heartbeat withoutLists() const;

    /// Entries of a list at most.
    static constexpr std::size_t maxEntries = wire::detail::maxShortLength;

    template <class Archive> void serialize(Archive& archive)
    {
        wire::detail::serializeShort(archive, node);
        wire::detail::serializeShort(archive, address);
        archive(bootId, sequence, configurationRevision, serversRevision, evidenceAgeMs, isLeaving,
            followsStore, isSettled, omitsLists);
        wire::detail::serializeShort(archive, shares);
        wire::detail::serializeShort(archive, strikes);
        wire::detail::serializeShort(archive, placements);
        wire::detail::serializeShort(archive, failures);
        wire::detail::serializeShort(archive, peerAddresses);
    }
};

/// An item of the store in a copy.
struct copied_item {
    store_item item;

    template <class Archive> void serialize(Archive& archive)
    {
        wire::detail::serializeShort(archive, item.key);
        wire::detail::serializeLong(archive, item.value);
        archive(item.revision);
    }
};

/// The key of an item that was removed from the store.
struct removed_key {
    std::string key;
    std::uint64_t revision = 0; ///< of the store, of the removal

    template <class Archive> void serialize(Archive& archive)
    {
        wire::detail::serializeShort(archive, key);
        archive(revision);
    }
};

/// What is asked for. A configuration may have a megabyte and changes of servers some hundred bytes, which
/// are needed sooner: they never share a message.
enum class view_part : std::uint8_t {
    Servers,
    Configuration
};

/// Name for logs. Thread safe.
std::string_view toString(view_part part);

/// What a node that asks for a copy knows already.
struct view_request {
    std::uint64_t configurationRevision = 0;
    std::uint64_t serversAsOf = 0; ///< 0: nothing
    bool acceptsFull = true; ///< also wants all entries where the changes alone cannot be told
    view_part part = view_part::Servers;

    template <class Archive> void serialize(Archive& archive)
    {
        archive(configurationRevision, serversAsOf, acceptsFull, part);
    }
};

/// What a node knows of one part of the store, for a peer who has not heard it from the store.
struct view_copy {
    /// One item, or none when the asking node has it or asks for servers.
    std::vector<copied_item> configuration;
    bool isFull = true; ///< `servers` are all there are; else those that changed since the request
    std::vector<copied_item> servers;
    std::vector<removed_key> removed; ///< since the request
    std::uint64_t serversAsOf = 0; ///< revision of the store that `servers` stands for; 0: not known
    /// Until entries that lapsed in an outage of the store are back or gone; 0: none is missing for that.
    std::uint32_t settlesInMs = 0;

    template <class Archive> void serialize(Archive& archive)
    {
        wire::detail::serializeShort(archive, configuration);
        archive(isFull);
        wire::detail::serializeLong(archive, servers);
        wire::detail::serializeLong(archive, removed);
        archive(serversAsOf, settlesInMs);
    }
};

/// Bytes on the wire. Thread safe.
std::string encodeHeartbeat(const peer_heartbeat& beat);
std::string encodeView(const view_copy& view);
std::string encodeRequest(const view_request& request);
/// Bytes of an encoded request. Thread safe.
std::size_t requestSize();
/// Nothing for bytes that are none. Thread safe.
std::optional<peer_heartbeat> decodeHeartbeat(std::string_view bytes);
std::optional<view_copy> decodeView(std::string_view bytes);
std::optional<view_request> decodeRequest(std::string_view bytes);

} // namespace gateway
