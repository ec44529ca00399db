#pragma once

#include "backendserver.h"

#include "utils/time.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace catalogue {

/// The backend servers that this node may send requests to.
///
/// Entries are leases in the store. During an outage of the store leases may lapse although their servers are
/// alive. An entry that goes missing during the outage or within `settleTime` of its end therefore stays in
/// use until that time is over; without this, every request fails for two seconds after each outage. At all
/// other times a missing entry means that the server is gone.
///
/// Operators may evacuate a data centre: its servers get no new requests until the evacuation ends. They may
/// be cold then, although their entries say so only later. Not thread safe.
class server_directory {
public:
    explicit server_directory(utils::duration settleTime)
        : m_settleTime(settleTime)
    {
    }

    /// Takes a written entry. Pass std::nullopt for an invalid one: it removes the server of that id as
    /// remove() does.
    void put(const utils::server_id& id, std::optional<backend_server> entry, utils::time_point now);
    /// Takes the removal of an entry. `isAuthoritative`: the removal is reported by a node that the store
    /// serves and that has settled, so the lease did not lapse because of an outage.
    void remove(const utils::server_id& id, utils::time_point now, bool isAuthoritative = false);
    /// Replaces all entries by the present content of the store; `isAuthoritative` as for remove().
    void replaceAll(
        const std::vector<backend_server>& entries, utils::time_point now, bool isAuthoritative = false);
    /// Whether an entry that goes missing now may have lapsed because of an outage.
    bool isSettling(utils::time_point now) const;
    /// Time until isSettling() ends, zero once it has. The full settle time while the store is unreachable.
    utils::duration remainingSettleTime(utils::time_point now) const;
    /// Extends settling to `time` from now, at most the settle time: a node that the store serves reports
    /// that entries may still be missing.
    void extendSettling(utils::duration time, utils::time_point now);
    /// Takes a change in whether the store can be reached. The settle time starts when it is back.
    void setStoreReachable(bool isReachable, utils::time_point now);
    /// Begins or ends the evacuation of a data centre.
    void setEvacuated(const std::string& dataCentre, bool isEvacuated, utils::time_point now);
    /// Marks a server at whose address another one has answered that it is not this server. It gets no
    /// requests until its entry shows a restart or another address.
    void markIdentityMismatch(const utils::server_id& id);
    /// Whether markIdentityMismatch() holds for the server. False if it is unknown.
    bool hasIdentityMismatch(const utils::server_id& id) const;
    /// Marks a process of a server that has said that it leaves. It gets no new requests, whatever its entry
    /// says, and whether that goes and comes back, until the entry shows a restart. Returns whether this is
    /// news.
    bool markLeaving(const utils::server_id& id, std::uint64_t startedAtMs, utils::time_point now);
    /// Removes lapsed entries that were not renewed in time; returns their number.
    std::size_t expire(utils::time_point now);

    /// Whether the server may get new requests; check it right before sending.
    bool isUsable(const utils::server_id& id) const;
    /// Whether the server drains by its entry, or has said that it leaves. False if it is unknown.
    bool isDraining(const utils::server_id& id) const;
    /// Whether the servers of the data centre get no new requests by order of the operators.
    bool isEvacuated(const std::string& dataCentre) const { return m_evacuated.contains(dataCentre); }
    /// Returns the data centres that are evacuated, ordered by name.
    const std::set<std::string>& evacuated() const { return m_evacuated; }
    /// Until when a server is cold, or has to be taken for cold because the evacuation of its data centre
    /// ended less than `coldStart` ago. The epoch if the server is unknown or was never cold.
    utils::time_point coldUntil(const utils::server_id& id, utils::duration coldStart) const;
    /// Returns the server; null if it is unknown.
    const backend_server* find(const utils::server_id& id) const;
    /// Returns the servers of a service that may get new requests, ordered by id.
    std::vector<const backend_server*> usable(const std::string& service) const;
    /// Returns the servers of a service with a current entry, including draining and evacuated ones, ordered
    /// by id.
    std::vector<const backend_server*> present(const std::string& service) const;
    /// Returns the software versions of all entries by service, including draining and lapsed ones.
    std::map<std::string, std::set<std::string>> softwareVersions() const;
    /// Time since this node learned that the server drains or leaves; nothing if it does not, or did so
    /// before this node knew it.
    std::optional<utils::duration> drainingFor(const utils::server_id& id, utils::time_point now) const;
    /// Number of entries, including draining and lapsed ones.
    std::size_t size() const { return m_entries.size(); }
    /// Returns the servers whose entries are missing but may be renewed.
    std::vector<utils::server_id> lapsed() const;
    /// Number of servers that may get new requests.
    std::size_t usableCount() const;

private:
    struct entry_state;
    struct leaving_process;
    bool isUsable(const entry_state& state) const;
    /// What the process of the entry has said; null if it has not said that it leaves.
    const leaving_process* leavingProcess(const entry_state& state) const;

    struct entry_state {
        backend_server server;
        bool hasIdentityMismatch = false;
        utils::time_point coldUntil {};
        std::optional<utils::time_point> drainingSince; ///< set if this node has seen the server before
        std::optional<utils::time_point> expiresAt; ///< set once the entry is missing: when it is removed
    };

    struct leaving_process {
        std::uint64_t startedAtMs = 0;
        utils::time_point since {};
        utils::time_point heardAt {}; ///< last time that it said so
    };

    /// A process that leaves has ended by then. Its entry may come and go meanwhile.
    static constexpr utils::duration leavingLifetime = std::chrono::minutes(10);

    utils::duration m_settleTime;
    std::map<utils::server_id, entry_state> m_entries;
    bool m_isStoreReachable = true;
    utils::time_point m_settledAt {};
    std::map<utils::server_id, leaving_process> m_leaving;
    std::set<std::string> m_evacuated;
    std::map<std::string, utils::time_point> m_evacuationEndedAt; ///< by data centre
};

} // namespace catalogue
