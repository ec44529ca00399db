#pragma once

#include "gateway/view/store.h"

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

/// The load that a node puts on one backend server.
struct reported_share {
    std::string server;
    decisions::load_share share;

    template <class Archive> void serialize(Archive& archive)
    {
        wire::detail::serializeShort(archive, server);
        archive(share);
    }
};

/// The backend server to which shared parts of a prompt were sent.
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

/// Failures at a backend server since the last heartbeat.
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

/// A service whose backend servers the sender cannot connect to.
struct reported_service {
    std::string name;

    template <class Archive> void serialize(Archive& archive) { wire::detail::serializeShort(archive, name); }
};

/// The address of a node.
struct reported_address {
    std::string address; ///< "ip:port"

    template <class Archive> void serialize(Archive& archive)
    {
        wire::detail::serializeShort(archive, address);
    }
};

/// The state that a node sends to its peers several times a second. Each list is limited to 255 entries. The
/// fields are sent by position.
struct peer_heartbeat {
    std::string node;
    std::string address; ///< "ip:port" of its peer listener
    std::uint64_t bootId = 0; ///< random, another one at each start of the node; not 0
    std::uint64_t sequence = 0; ///< increases with each heartbeat
    std::uint64_t configurationRevision = 0; ///< store revision of the configuration in force; 0: none
    std::uint64_t serversRevision = 0; ///< store revision of the last known change of the backend servers
    std::uint32_t evidenceAgeMs = 0; ///< time since its configuration was last known to be the newest
    std::string dataCentre;
    std::uint16_t forwardPort = 0; ///< of its listener for forwarded requests; 0: it has none
    std::uint32_t requestsInProgress = 0;
    std::vector<reported_service> cutOffServices;
    bool isLeaving = false;
    bool followsStore = false; ///< receives changes from the store itself, as far as it knows
    bool isSettled = false; ///< follows the store, and no entry is missing because of a store outage
    bool omitsLists = false; ///< the lists below are left out; their absence means nothing
    std::vector<reported_share> shares;
    /// Always empty: crashes have messages of their own. Builds before them read it here.
    std::vector<decisions::poison_strike> strikes;
    std::vector<reported_placement> placements; ///< made since the last heartbeat
    std::vector<reported_failures> failures; ///< since the last heartbeat
    std::vector<reported_address> peerAddresses; ///< some other nodes, for discovery

    /// This heartbeat without its lists.
    peer_heartbeat withoutLists() const;

    /// Maximum length of a list.
    static constexpr std::size_t maxEntries = wire::detail::maxShortLength;

    template <class Archive> void serialize(Archive& archive)
    {
        wire::detail::serializeShort(archive, node);
        wire::detail::serializeShort(archive, address);
        wire::detail::serializeShort(archive, dataCentre);
        wire::detail::serializeShort(archive, cutOffServices);
        archive(bootId, sequence, configurationRevision, serversRevision, evidenceAgeMs, forwardPort,
            requestsInProgress, isLeaving, followsStore, isSettled, omitsLists);
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
    std::uint64_t revision = 0; ///< store revision of the removal

    template <class Archive> void serialize(Archive& archive)
    {
        wire::detail::serializeShort(archive, key);
        archive(revision);
    }
};

/// The part of the view that is requested. A configuration may have a megabyte; changes of servers have about
/// a hundred bytes and are needed sooner, so that the two never share a message.
enum class view_part : std::uint8_t {
    Servers,
    Configuration
};

/// Name for logs. Thread safe.
std::string_view toString(view_part part);

/// A request for a copy, with the revisions that the asking node has already.
struct view_request {
    std::uint64_t configurationRevision = 0;
    std::uint64_t serversAsOf = 0; ///< 0: none
    bool acceptsFull = true; ///< accept all entries where the changes alone are not available
    view_part part = view_part::Servers;

    template <class Archive> void serialize(Archive& archive)
    {
        archive(configurationRevision, serversAsOf, acceptsFull, part);
    }
};

/// One part of a node's view of the store, for a peer that has not received it from the store.
struct view_copy {
    /// One item, or none if the asking node has it or asks for servers.
    std::vector<copied_item> configuration;
    /// `servers` holds all entries; otherwise only those changed since the request's revision
    bool isFull = true;
    std::vector<copied_item> servers;
    std::vector<removed_key> removed; ///< since the request's revision
    std::uint64_t serversAsOf = 0; ///< store revision that `servers` represents; 0: unknown
    /// Time until entries that lapsed in a store outage are either renewed or removed; 0: no entry is missing
    /// because of an outage.
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

/// The encoded message as sent between nodes. Thread safe.
std::string encodeHeartbeat(const peer_heartbeat& heartbeat);
std::string encodeView(const view_copy& view);
std::string encodeRequest(const view_request& request);
/// Size of an encoded request in bytes. Thread safe.
std::size_t requestSize();
/// The decoded message, or nothing if the bytes are not a valid one. Thread safe.
std::optional<peer_heartbeat> decodeHeartbeat(std::string_view bytes);
std::optional<view_copy> decodeView(std::string_view bytes);
std::optional<view_request> decodeRequest(std::string_view bytes);

} // namespace gateway
