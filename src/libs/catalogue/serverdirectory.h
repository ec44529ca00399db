#pragma once

#include "backendserver.h"

#include "utils/time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace catalogue {

/// The backend servers that this node may send to.
///
/// Entries are leases in the store. While the store is away they may lapse although their servers live, so
/// an entry that goes missing within `settleTime` of the store's return is used on until that time is over:
/// without this every request fails for two seconds after each outage. After it, missing means gone.
/// Not thread safe.
class server_directory {
public:
    explicit server_directory(utils::duration settleTime)
        : m_settleTime(settleTime)
    {
    }

    /// An entry was written. An unusable entry is passed as nothing: it names no server, but it ends the one
    /// that had the id.
    void put(const utils::server_id& id, std::optional<backend_server> entry, utils::time_point now);
    /// An entry was removed. `isAuthoritative`: a node that the store serves and that has settled says so;
    /// the entry did not lapse for an outage then.
    void remove(const utils::server_id& id, utils::time_point now, bool isAuthoritative = false);
    /// Replaces everything by what the store holds now; `isAuthoritative` as above.
    void replaceAll(
        const std::vector<backend_server>& entries, utils::time_point now, bool isAuthoritative = false);
    /// Whether entries that go missing now may have lapsed for an outage.
    bool isSettling(utils::time_point now) const;
    /// For how long they may, as far as is known; zero when settled.
    utils::duration remainingSettleTime(utils::time_point now) const;
    /// A node that the store serves says that entries may be missing for that long yet.
    void extendSettling(utils::duration time, utils::time_point now);
    /// The store is away, or back.
    void setStoreReachable(bool isReachable, utils::time_point now);
    /// The server itself said that it is another one: not used until its entry changes.
    void markIdentityMismatch(const utils::server_id& id);
    /// Drops what did not come back in time.
    void expire(utils::time_point now);

    /// Whether new requests may go there; to be asked right before bytes go out.
    bool isUsable(const utils::server_id& id) const;
    /// Null when unknown.
    const backend_server* find(const utils::server_id& id) const;
    /// The usable servers of a service, by id.
    std::vector<const backend_server*> usable(const std::string& service) const;
    /// All servers of a service that have not gone, those that drain too, by id.
    std::vector<const backend_server*> present(const std::string& service) const;
    std::size_t size() const { return m_entries.size(); }
    /// Servers whose entries went missing and may come back.
    std::vector<utils::server_id> lapsed() const;
    /// Servers that take requests.
    std::size_t usableCount() const;

private:
    struct entry_state {
        backend_server server;
        bool hasIdentityMismatch = false;
        std::optional<utils::time_point> expiresAt; ///< lapsed, and gone for good then
    };

    utils::duration m_settleTime;
    std::map<utils::server_id, entry_state> m_entries;
    bool m_isStoreReachable = true;
    utils::time_point m_settledAt {};
};

} // namespace catalogue
