#include "eventcatalogue.h"

#include <algorithm>
#include <array>
#include <stdexcept>

namespace utils {

namespace {

using enum severity;

constexpr std::array catalogue {
    event_info { event::SoftAssert, Error, "soft_assert", "An expectation of the code does not hold" },
    event_info { event::Started, Info, "started", "The process serves" },
    event_info { event::Stopping, Info, "stopping", "The process leaves once its requests are done" },
    event_info { event::Stopped, Info, "stopped", "The process has left" },
    event_info { event::SettingsInvalid, Error, "settings_invalid", "The settings have errors" },
    event_info { event::ListenFailed, Error, "listen_failed", "An address cannot be listened on" },
    event_info { event::SettingsRead, Info, "settings_read",
        "Changed settings are sound; they hold from the next start" },
    event_info { event::WorkLate, Warning, "work_late", "What is due at a set time is done late" },
    event_info {
        event::PeerKeyRejected, Warning, "peer_key_rejected", "Bytes from a peer fail authentication" },
    event_info { event::ConfigurationInForce, Info, "configuration_in_force", "A revision is in force here" },
    event_info { event::ChangeAccepted, Info, "change_accepted", "An operator's change is in the head" },
    event_info { event::ChangeRefused, Info, "change_refused", "An operator's change was not made" },
    event_info { event::ChangeUnknown, Warning, "change_unknown", "Whether a change was made is not known" },
    event_info { event::OperatorRejected, Warning, "operator_rejected", "A key is no operator's" },
    event_info { event::ConfigurationUnreadable, Error, "configuration_unreadable",
        "A new configuration cannot be read; the last one stays in force" },
    event_info { event::ServerEntryUnreadable, Warning, "server_entry_unreadable",
        "An entry names no backend server to use" },
    event_info {
        event::ServerChanged, Info, "server_changed", "What is known of a backend server has changed" },
    event_info { event::ViewCopyTaken, Info, "view_copy_taken",
        "A peer was asked for a copy of what it knows of the store" },
    event_info { event::ViewCopySent, Info, "view_copy_sent",
        "A peer has asked for a copy of what this node knows of the store" },
    event_info { event::RequestDone, Info, "request_done", "A request has its whole answer" },
    event_info { event::RequestRefused, Info, "request_refused", "A request was refused" },
    event_info {
        event::AttemptFailed, Info, "attempt_failed", "An attempt at a backend server brought no answer" },
    event_info { event::ServerFailure, Warning, "server_failure", "A backend server failed a request" },
    event_info {
        event::ServerCrashed, Warning, "server_crashed", "A backend server crashed with requests in flight" },
    event_info { event::PlatformFailure, Warning, "platform_failure", "A call to the platform failed" },
    event_info { event::StoreLost, Warning, "store_lost", "The platform's store does not answer this node" },
    event_info { event::StoreRegained, Info, "store_regained", "The platform's store answers again" },
    event_info { event::StoreFollowing, Info, "store_following",
        "This node follows the platform's store itself from now on, or relies on peers that do" },
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
        throw std::logic_error("event without a row in the catalogue");
    return *row;
}

} // namespace utils
