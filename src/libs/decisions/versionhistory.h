#pragma once

#include "streamorigins.h"

#include "utils/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace decisions {

/// The software versions of each service, by name.
using service_versions = std::map<std::string, std::set<std::string>>;

/// Knows which software versions of a service can have begun the streams that callers still hold.
///
/// Load: a release replaces all backend servers of a service, or the servers of one of several versions leave
/// without a replacement; then all nodes are killed, and callers resume streams that nobody remembers. That
/// all servers have one version now does not prove that the streams began there. The nodes therefore keep a
/// record in the store of all versions that were in use within `lifetime`; it is written only when a version
/// appears or has been gone for that long. While the record and all that this node has observed name a single
/// version, every stream has begun at it. The store may refuse the writes, so nothing follows from a record
/// that is missing, and a new one names `unknownVersion` for `lifetime`: it does not tell what was before it.
/// A version that the record does not name begins no streams where others can. Not thread safe.
class version_history {
public:
    /// A version counts for this time after its last server has left: no stream begins there any more, and
    /// callers have given up all that did.
    static constexpr utils::duration lifetime = std::chrono::seconds(30);
    /// Stands in the record for versions that may have been in use before there was one.
    static constexpr std::string_view unknownVersion = "?";

    /// Takes the record in the store, at that revision of the store; nothing if it was removed. Older ones
    /// are ignored.
    void applyRecord(std::optional<service_versions> record, std::uint64_t revision, utils::time_point now);
    /// States that no stream began before this process observes the servers: a record that it begins is
    /// complete. To be withdrawn once it may have missed a version.
    void setFirstObserver(bool isFirst) { m_isFirstObserver = isFirst; }
    /// Takes the versions of all entries of servers that this node knows.
    void observe(const service_versions& present, utils::time_point now);
    /// Returns the single version at which streams of the service can have begun; nothing if there are
    /// several, none is known, or the record does not name the service.
    std::optional<std::string> onlyVersion(const std::string& service, utils::time_point now) const;
    /// Whether streams of the service can have begun at different versions, as far as this node can tell.
    bool mayHaveSeveral(const std::string& service, utils::time_point now) const;
    /// Whether the record names the version, so that it is known after the death of all nodes, too.
    bool isRecorded(const std::string& service, const std::string& version) const;
    /// Returns the record that the store should hold; nothing if it holds that.
    std::optional<service_versions> missingRecord(utils::time_point now) const;
    /// Returns the name of a version of the service, for logs; empty if it is not known.
    std::string nameOf(const std::string& service, version_key version) const;
    /// Revision of the store at the last change of the record that was taken; 0: there was none.
    std::uint64_t recordRevision() const { return m_revision; }
    /// Whether there is a record.
    bool hasRecord() const { return m_hasRecord; }

private:
    struct seen_version {
        bool isPresent = false;
        utils::time_point lastAt {}; ///< when it was last present, or first missed
    };
    std::set<std::string> possibleVersions(const std::string& service, utils::time_point now) const;

    service_versions m_record;
    std::uint64_t m_revision = 0;
    bool m_hasRecord = false;
    bool m_isFirstObserver = false;
    std::map<std::string, std::map<std::string, seen_version>> m_seen; ///< by service and version
};

/// The record as text, one line a version; names with control characters are left out, and their service is
/// then never taken to have a single version. Thread safe.
std::string encodeRecord(const service_versions& record);
/// The inverse. Lines that cannot be read are skipped. Thread safe.
service_versions decodeRecord(const std::string& text);

} // namespace decisions
