#include "eventcatalogue.h"

#include <algorithm>
#include <array>
#include <stdexcept>

namespace utils {

namespace {

using enum severity;

constexpr std::array catalogue {
    event_info { event::SoftAssert, Error, "soft_assert", "A soft assertion failed" },
    event_info { event::Started, Info, "started", "The process accepts requests" },
    event_info { event::Stopping, Info, "stopping", "The process stops once its requests are done" },
    event_info { event::Stopped, Info, "stopped", "The process has stopped" },
    event_info { event::SettingsInvalid, Error, "settings_invalid", "The settings have errors" },
    event_info { event::ListenFailed, Error, "listen_failed", "Cannot listen on an address" },
    event_info { event::SettingsRead, Info, "settings_read",
        "The changed settings are valid; they take effect at the next start" },
    event_info { event::WorkLate, Warning, "work_late", "Timed work runs late" },
    event_info { event::TaskFailed, Error, "task_failed", "An unexpected error ended a task of the process" },
    event_info { event::ProcessFailed, Error, "process_failed", "An unexpected error ends the process" },
    event_info {
        event::PeerKeyRejected, Warning, "peer_key_rejected", "Data from a peer failed authentication" },
    event_info { event::ConfigurationInForce, Info, "configuration_in_force",
        "A configuration revision has come into force on this node" },
    event_info { event::ChangeAccepted, Info, "change_accepted", "An operator's change was committed" },
    event_info { event::ChangeRefused, Info, "change_refused", "An operator's change was rejected" },
    event_info {
        event::ChangeUnknown, Warning, "change_unknown", "It is unknown whether a change was committed" },
    event_info { event::OperatorRejected, Warning, "operator_rejected", "A key belongs to no operator" },
    event_info { event::ConfigurationUnreadable, Error, "configuration_unreadable",
        "A new configuration cannot be decoded; the previous one stays in force" },
    event_info { event::ServerEntryUnreadable, Warning, "server_entry_unreadable",
        "The entry of a backend server cannot be decoded" },
    event_info {
        event::ServerChanged, Info, "server_changed", "The known state of a backend server changed" },
    event_info { event::ViewCopyTaken, Info, "view_copy_taken",
        "This node requested a copy of a peer's view of the store" },
    event_info { event::ViewCopySent, Info, "view_copy_sent",
        "A peer requested a copy of this node's view of the store" },
    event_info { event::EvacuationChanged, Info, "evacuation_changed",
        "The evacuation of a data centre has begun or ended" },
    event_info { event::SoftwareVersions, Info, "software_versions",
        "The record of the software versions of a service has changed" },
    event_info { event::CrashingParts, Info, "crashing_parts",
        "The record of the parts of prompts that are refused has changed" },
    event_info { event::StreamOriginsRead, Info, "stream_origins_read",
        "The software versions that began streams were read from the store" },
    event_info { event::RequestDone, Info, "request_done", "A request was answered completely" },
    event_info { event::RequestRefused, Info, "request_refused", "A request was refused" },
    event_info {
        event::AttemptFailed, Info, "attempt_failed", "An attempt at a backend server got no answer" },
    event_info { event::AnswerCut, Warning, "answer_cut",
        "The connection of a caller ended before its response was complete" },
    event_info { event::AttemptStalled, Info, "attempt_stalled",
        "An attempt at a backend server receives no data and is not replaced" },
    event_info { event::ServerFailure, Warning, "server_failure", "A backend server failed a request" },
    event_info {
        event::ServerCrashed, Warning, "server_crashed", "A backend server crashed with requests in flight" },
    event_info { event::ServiceCutOff, Warning, "service_cut_off",
        "This node cannot connect to the backend servers of a service" },
    event_info { event::ServiceReached, Info, "service_reached",
        "This node connects to the backend servers of a service again" },
    event_info { event::PartCleared, Info, "part_cleared",
        "An answer began with parts of a prompt that were suspect of crashing servers" },
    event_info { event::ServerAsksForRest, Info, "server_asks_for_rest",
        "A backend server has turned a request away and wants no more for a while" },
    event_info {
        event::ServerLeaves, Info, "server_leaves", "A backend server says in an answer that it leaves" },
    event_info { event::ServerNoticeUnreadable, Warning, "server_notice_unreadable",
        "What a backend server says of itself in an answer cannot be read" },
    event_info { event::LossNotCounted, Info, "loss_not_counted",
        "An attempt at a backend server was lost, and counts against no request" },
    event_info { event::PlatformFailure, Warning, "platform_failure", "A call to the platform failed" },
    event_info { event::StoreLost, Warning, "store_lost", "The platform's store does not answer" },
    event_info { event::StoreRegained, Info, "store_regained", "The platform's store answers again" },
    event_info { event::StoreFollowing, Info, "store_following",
        "This node now watches the platform's store itself, or relies on peers that do" },
};

} // namespace

std::span<const event_info> eventCatalogue()
{
    return catalogue;
}

const event_info& infoOf(event id)
{
    const auto row = std::ranges::find(catalogue, id, &event_info::id);
    if (row == catalogue.end())
        throw std::logic_error("event is not in the catalogue");
    return *row;
}

} // namespace utils
