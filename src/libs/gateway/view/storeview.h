#pragma once

#include "gateway/clock.h"
#include "gateway/nodecontext.h"
#include "gateway/peers/peermessages.h"
#include "removalhistory.h"
#include "store.h"

#include "utils/eventlog.h"
#include "utils/result.h"

#include <concepts>
#include <map>
#include <set>
#include <string>

namespace gateway {

/// Keys and encoding of the operators' configuration, of the backend servers' entries and of the operators'
/// evacuations in the store. The key of an evacuation ends with the name of its data centre; it lasts until
/// the item is removed, whatever its value.
template <class Codec>
concept catalogue_codec = requires(std::string_view bytes, std::uint64_t revision)
{
    {
        Codec::configurationKey()
        } -> std::convertible_to<std::string_view>;
    {
        Codec::serverPrefix()
        } -> std::convertible_to<std::string_view>;
    {
        Codec::evacuationPrefix()
        } -> std::convertible_to<std::string_view>;
    {
        Codec::decodeConfiguration(bytes)
        } -> std::same_as<utils::result<catalogue::configuration_ptr>>;
    {
        Codec::decodeServer(bytes, bytes, revision)
        } -> std::same_as<utils::result<catalogue::backend_server>>;
};

/// Key of the record of the software versions in use, see decisions::version_history. The nodes write it.
inline constexpr std::string_view versionRecordKey = "software-versions";

/// Key of the record of the parts of prompts that are refused, see decisions::crashing_parts. The nodes write
/// it.
inline constexpr std::string_view partRecordKey = "crashing-parts";

/// This node's view of the store, received from the store itself or from peers, and applied to the context.
/// The revisions of the store define the order: an older item never replaces a newer one, whatever its
/// source. Evacuations and the records that nodes write travel with the entries of backend servers: they
/// all say where requests may be sent. Not thread safe.
template <catalogue_codec Codec> class store_view {
public:
    /// Precondition: the context outlives this object.
    explicit store_view(node_context& context)
        : m_context(context)
    {
    }

    /// Applies an item below the operators' prefix. Returns whether it became the configuration in force.
    bool applyConfiguration(const store_item& item, std::string_view source)
    {
        if (item.key != Codec::configurationKey() || item.revision <= m_configuration.revision)
            return false;
        return utils::valueOr(
            [&]() -> utils::result<bool> {
                BOOST_LEAF_AUTO(configuration, Codec::decodeConfiguration(item.value));
                m_configuration = item;
                if (m_context.configuration && configuration->version <= m_context.configuration->version)
                    return utils::fail(utils::error_kind::InvalidDocument,
                        "the version is not higher than the one in force");
                m_context.configuration = configuration;
                m_context.configurationAt = now();
                m_context.updateServers();
                utils::logEvent(utils::event::ConfigurationInForce,
                    { { "version", std::to_string(configuration->version) },
                        { "revision", std::to_string(item.revision) }, { "source", std::string(source) } });
                return true;
            },
            [&](const utils::failure& failure) {
                utils::logEvent(utils::event::ConfigurationUnreadable,
                    { { "revision", std::to_string(item.revision) }, { "detail", failure.detail } });
                return false;
            });
    }

    /// Whether the item is an entry of a backend server, an evacuation or a record that nodes write.
    static bool isServerItem(const store_item& item)
    {
        return item.key.starts_with(Codec::serverPrefix()) || isEvacuation(item.key) || isRecord(item.key);
    }

    /// Replaces all entries of backend servers and all evacuations by those at revision `asOf`.
    /// `isAuthoritative`: no entry is missing because of a store outage.
    /// Precondition: isServerItem() for all items.
    void applyServers(const std::vector<store_item>& items, std::uint64_t asOf, utils::time_point now,
        bool isAuthoritative = false)
    {
        if (asOf < m_serversAsOf)
            return;
        m_context.viewLag.advance(asOf);
        // A full read may omit entries whose removal was never reported. Raising the revision makes all other
        // nodes fetch the servers.
        if (m_serversAsOf > 0)
            m_serversRevision = std::max(m_serversRevision, asOf);
        m_serversAsOf = asOf;
        m_servers.clear();
        m_removals.reset(asOf);
        std::vector<catalogue::backend_server> entries;
        std::set<std::string> evacuated;
        for (const store_item& item : items) {
            m_serversRevision = std::max(m_serversRevision, item.revision);
            m_servers[item.key] = item;
            if (isEvacuation(item.key))
                evacuated.insert(dataCentreOf(item.key));
            else if (isRecord(item.key))
                applyRecord({ item, false }, now);
            else if (auto entry = decode(item))
                entries.push_back(std::move(*entry));
        }
        m_context.servers.replaceAll(entries, now, isAuthoritative);
        replaceEvacuations(evacuated, now);
        m_context.updateServers();
    }

    /// Applies a change of one entry or evacuation. `isAuthoritative` as for applyServers().
    /// Precondition: isServerItem().
    void applyServerChange(const store_change& change, utils::time_point now, bool isAuthoritative = false,
        std::string_view source = "store")
    {
        const std::string& key = change.item.key;
        if (isKnown(change.item))
            return;
        m_serversRevision = std::max(m_serversRevision, change.item.revision);
        if (change.isRemoved) {
            m_servers.erase(key);
            m_removals.add(key, change.item.revision);
        } else {
            m_servers[key] = change.item;
        }
        if (isEvacuation(key))
            setEvacuated(dataCentreOf(key), !change.isRemoved, now, source);
        else if (isRecord(key))
            applyRecord(change, now);
        else
            changeServer(change, now, isAuthoritative, source);
        m_context.updateServers();
    }

    /// Removes entries that were kept as lapsed in an outage. To be called with the servers' revision of a
    /// node that the store has served without interruption: entries removed up to that revision are gone and
    /// did not lapse because of an outage.
    void confirmRemovals(std::uint64_t revision, utils::time_point now)
    {
        for (const utils::server_id& id : m_context.servers.lapsed()) {
            const std::uint64_t removedAt
                = m_removals.revisionOf(std::string(Codec::serverPrefix()) + id.str());
            if (removedAt == 0 || removedAt > revision)
                continue;
            m_context.servers.remove(id, now, true);
            m_context.updateServers();
            logServer(id, "peer");
        }
    }

    /// Records that all changes up to this revision were applied.
    void advanceServers(std::uint64_t asOf)
    {
        m_serversAsOf = std::max(m_serversAsOf, asOf);
        m_context.viewLag.advance(m_serversAsOf);
    }

    /// Applies a peer's copy. Returns whether it brought a new configuration into force.
    bool applyCopy(const view_copy& copy, utils::time_point now)
    {
        bool isNew = false;
        for (const copied_item& copied : copy.configuration)
            isNew = applyConfiguration(copied.item, "peer") || isNew;
        if (copy.serversAsOf <= m_serversAsOf)
            return isNew;
        const bool isAuthoritative = copy.settlesInMs == 0;
        m_context.servers.extendSettling(std::chrono::milliseconds(copy.settlesInMs), now);
        if (copy.isFull) {
            std::vector<store_item> servers;
            for (const copied_item& copied : copy.servers)
                servers.push_back(copied.item);
            applyServers(servers, copy.serversAsOf, now, isAuthoritative);
            return isNew;
        }
        for (const copied_item& copied : copy.servers)
            applyServerChange({ copied.item, false }, now, isAuthoritative, "peer");
        for (const removed_key& removed : copy.removed)
            applyServerChange({ { removed.key, {}, removed.revision }, true }, now, isAuthoritative, "peer");
        advanceServers(copy.serversAsOf);
        return isNew;
    }

    /// The copy for a peer: whatever its request shows that it lacks.
    view_copy copy(const view_request& request, utils::time_point now) const
    {
        view_copy copy;
        if (request.part == view_part::Configuration) {
            if (m_configuration.revision > request.configurationRevision)
                copy.configuration.push_back({ m_configuration });
            return copy;
        }
        const auto settlesIn
            = std::chrono::ceil<std::chrono::milliseconds>(m_context.servers.remainingSettleTime(now));
        copy.settlesInMs = static_cast<std::uint32_t>(settlesIn.count());
        copy.isFull = request.serversAsOf < m_removals.completeSince();
        if (copy.isFull && !request.acceptsFull)
            return copy;
        for (const auto& [key, item] : m_servers) {
            if (copy.isFull || item.revision > request.serversAsOf)
                copy.servers.push_back({ item });
        }
        if (!copy.isFull)
            copy.removed = m_removals.removedAfter(request.serversAsOf);
        copy.serversAsOf = m_serversAsOf;
        return copy;
    }

    /// A request to a peer that states what this node has already.
    view_request request(view_part part, bool acceptsFull = true) const
    {
        return { m_configuration.revision, m_serversAsOf, acceptsFull, part };
    }
    /// Whether a node with these revisions has a newer version of that part.
    bool isBehind(view_part part, std::uint64_t configurationRevision, std::uint64_t serversRevision) const
    {
        return part == view_part::Configuration ? configurationRevision > m_configuration.revision
                                                : serversRevision > m_serversAsOf;
    }
    std::uint64_t configurationRevision() const { return m_configuration.revision; }
    std::uint64_t serversRevision() const { return m_serversRevision; }
    /// All changes up to this revision of the store were applied.
    std::uint64_t serversAsOf() const { return m_serversAsOf; }
    /// Whether the view suffices to serve requests.
    bool isComplete() const { return m_context.configuration && m_serversAsOf > 0; }

private:
    static bool isEvacuation(std::string_view key) { return key.starts_with(Codec::evacuationPrefix()); }
    static bool isRecord(std::string_view key) { return key == versionRecordKey || key == partRecordKey; }
    static std::string dataCentreOf(const std::string& key)
    {
        return key.substr(std::string_view(Codec::evacuationPrefix()).size());
    }

    void changeServer(
        const store_change& change, utils::time_point now, bool isAuthoritative, std::string_view source)
    {
        const utils::server_id id = idOf(change.item.key);
        if (change.isRemoved)
            m_context.servers.remove(id, now, isAuthoritative);
        else
            m_context.servers.put(id, decode(change.item), now);
        logServer(id, source);
    }

    void applyRecord(const store_change& change, utils::time_point now)
    {
        if (change.item.key == partRecordKey)
            applyPartRecord(change, now);
        else
            applyVersionRecord(change, now);
    }

    void applyPartRecord(const store_change& change, utils::time_point now)
    {
        const std::uint64_t revision = change.item.revision;
        if (revision <= m_context.crashingParts.recordRevision())
            return;
        std::optional<std::string> record;
        if (!change.isRemoved)
            record = change.item.value;
        m_context.crashingParts.applyRecord(record, revision, now);
        utils::logEvent(utils::event::CrashingParts,
            { { "parts", std::to_string(m_context.crashingParts.refused(now)) },
                { "revision", std::to_string(revision) } });
    }

    void applyVersionRecord(const store_change& change, utils::time_point now)
    {
        const std::uint64_t revision = change.item.revision;
        if (revision <= m_context.versions.recordRevision())
            return;
        std::optional<decisions::service_versions> record;
        if (!change.isRemoved)
            record = decisions::decodeRecord(change.item.value);
        for (const auto& [service, versions] : record.value_or(decisions::service_versions())) {
            std::string names;
            for (const std::string& version : versions)
                names += (names.empty() ? "" : " ") + version;
            utils::logEvent(utils::event::SoftwareVersions,
                { { "service", service }, { "versions", names }, { "revision", std::to_string(revision) } });
        }
        m_context.versions.applyRecord(std::move(record), revision, now);
    }

    void replaceEvacuations(const std::set<std::string>& evacuated, utils::time_point now)
    {
        const std::set<std::string> before = m_context.servers.evacuated();
        for (const std::string& dataCentre : before) {
            if (!evacuated.contains(dataCentre))
                setEvacuated(dataCentre, false, now, "full_read");
        }
        for (const std::string& dataCentre : evacuated) {
            if (!before.contains(dataCentre))
                setEvacuated(dataCentre, true, now, "full_read");
        }
    }

    void setEvacuated(
        const std::string& dataCentre, bool isEvacuated, utils::time_point now, std::string_view source)
    {
        m_context.servers.setEvacuated(dataCentre, isEvacuated, now);
        utils::logEvent(utils::event::EvacuationChanged,
            { { "data_centre", dataCentre }, { "state", isEvacuated ? "begun" : "ended" },
                { "revision", std::to_string(m_serversRevision) }, { "source", std::string(source) } });
    }

    void logServer(const utils::server_id& id, std::string_view source) const
    {
        const catalogue::backend_server* server = m_context.servers.find(id);
        std::string_view state = "gone";
        if (server != nullptr)
            state = server->isDraining ? "leaving" : "ready";
        utils::logEvent(utils::event::ServerChanged,
            { { "server", id.str() }, { "state", std::string(state) },
                { "revision", std::to_string(m_serversRevision) }, { "source", std::string(source) } });
    }

    /// A late change from the other source must not overwrite a newer one.
    bool isKnown(const store_item& item) const
    {
        const auto known = m_servers.find(item.key);
        if (known != m_servers.end() && known->second.revision >= item.revision)
            return true;
        return m_removals.revisionOf(item.key) >= item.revision;
    }

    static utils::server_id idOf(const std::string& key)
    {
        return utils::server_id(key.substr(std::string_view(Codec::serverPrefix()).size()));
    }

    static std::optional<catalogue::backend_server> decode(const store_item& item)
    {
        return utils::valueOr(
            [&]() -> utils::result<std::optional<catalogue::backend_server>> {
                BOOST_LEAF_AUTO(entry, Codec::decodeServer(idOf(item.key).str(), item.value, item.revision));
                return std::optional(std::move(entry));
            },
            [&](const utils::failure& failure) -> std::optional<catalogue::backend_server> {
                utils::logEvent(utils::event::ServerEntryUnreadable,
                    { { "server", idOf(item.key).str() }, { "detail", failure.detail } });
                return std::nullopt;
            });
    }

    node_context& m_context;
    store_item m_configuration;
    std::map<std::string, store_item> m_servers;
    removal_history m_removals;
    std::uint64_t m_serversAsOf = 0;
    std::uint64_t m_serversRevision = 0;
};

} // namespace gateway
