#pragma once

#include <span>
#include <string_view>

namespace utils {

/// Severity of a log line.
enum class severity {
    Debug,
    Info,
    Warning,
    Error
};

/// Every event that the programs log, by number. docs/EVENTS.md explains each; a test compares the two.
/// Ranges: 1000 process, 2000 membership, 3000 configuration, 4000 requests, 5000 operations and drafts,
/// 6000 backend servers, 7000 platform. The number of a removed event is not reused.
enum class event : int {
    SoftAssert = 1001,
    Started = 1002,
    Stopping = 1003,
    Stopped = 1004,
    SettingsInvalid = 1005,
    ListenFailed = 1006,
    SettingsRead = 1007,
    WorkLate = 1008,
    TaskFailed = 1009,
    ProcessFailed = 1010,
    PeerKeyRejected = 2004,
    ConfigurationInForce = 3001,
    ChangeAccepted = 3002,
    ChangeRefused = 3003,
    ChangeUnknown = 3004,
    OperatorRejected = 3005,
    ConfigurationUnreadable = 3006,
    ServerEntryUnreadable = 3007,
    ServerChanged = 3008,
    ViewCopyTaken = 3009,
    ViewCopySent = 3010,
    EvacuationChanged = 3011,
    SoftwareVersions = 3012,
    CrashingParts = 3013,
    StreamOriginsRead = 3014,
    RequestDone = 4001,
    RequestRefused = 4002,
    AttemptFailed = 4003,
    AnswerCut = 4004,
    AttemptStalled = 4005,
    ServerFailure = 6001,
    ServerCrashed = 6002,
    ServiceCutOff = 6003,
    ServiceReached = 6004,
    PartCleared = 6005,
    ServerAsksForRest = 6006,
    ServerLeaves = 6007,
    ServerNoticeUnreadable = 6008,
    LossNotCounted = 6009,
    PlatformFailure = 7001,
    StoreLost = 7002,
    StoreRegained = 7003,
    StoreFollowing = 7004,
};

/// One event of the catalogue.
struct event_info {
    event id;
    severity level;
    std::string_view name; ///< written to the log
    std::string_view message; ///< written in the text format only
};

/// Returns all events, ordered by number. Thread safe.
std::span<const event_info> eventCatalogue();
/// Returns the catalogue's entry of an event. Throws std::logic_error if there is none. Thread safe.
const event_info& infoOf(event id);

} // namespace utils
