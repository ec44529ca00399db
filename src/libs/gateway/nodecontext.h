#pragma once

#include "gateway/servers/connectionpool.h"
#include "nodemetrics.h"
#include "nodeoptions.h"

#include "catalogue/configuration.h"
#include "catalogue/serverdirectory.h"

#include "decisions/coldstart.h"
#include "decisions/crashingparts.h"
#include "decisions/fleetsize.h"
#include "decisions/loadshedding.h"
#include "decisions/loopdelay.h"
#include "decisions/overloadcontrol.h"
#include "decisions/recentfailures.h"
#include "decisions/rejectionlimiter.h"
#include "decisions/repeatallowance.h"
#include "decisions/requestwork.h"
#include "decisions/responsetimes.h"
#include "decisions/serverchoice.h"
#include "decisions/serverhealth.h"
#include "decisions/serverload.h"
#include "decisions/serverpace.h"
#include "decisions/serverreachability.h"
#include "decisions/serverrests.h"
#include "decisions/servicewindow.h"
#include "decisions/silencedetector.h"
#include "decisions/stalledattempts.h"
#include "decisions/undecidedlosses.h"
#include "decisions/versionhistory.h"
#include "decisions/viewlag.h"

#include "utils/errorkind.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace gateway {

/// The process of a backend server that its entry names.
inline decisions::server_process processOf(const catalogue::backend_server& server)
{
    return { server.id, server.startedAtMs };
}

/// A crash of a backend server that this node has seen.
struct seen_crash {
    std::uint64_t startedAtMs = 0; ///< of the server
    utils::time_point at {};
};

/// An attempt that was sent and ended without its answer, with what it may be counted against.
struct lost_attempt {
    std::string requestId;
    std::string service;
    std::vector<decisions::prompt_part> sharedParts;
    std::vector<decisions::prompt_part> suspects; ///< see request_plan
    utils::server_id server;
    std::uint64_t serverStartedAtMs = 0;
    utils::time_point sentAt {};
    utils::time_point lostAt {};
    bool hasAnswer = false; ///< an answer had begun, long enough before for its server to survive that
};

/// The state shared by the components of a node. Not thread safe.
struct node_context {
    node_context(boost::asio::any_io_executor ioExecutor, node_options nodeOptions);

    boost::asio::any_io_executor executor;
    node_options options;
    utils::time_point startedAt; ///< of this process
    catalogue::configuration_ptr configuration; ///< in force; null before the first
    utils::time_point configurationAt {}; ///< when it came into force on this node
    catalogue::server_directory servers;
    decisions::view_lag viewLag; ///< of the view of the backend servers
    decisions::version_history versions; ///< of the software of the backend servers
    decisions::server_loads loads;
    decisions::server_choice choice;
    decisions::server_health health;
    decisions::server_reachability reachability; ///< from the connections of this node
    decisions::cold_start_limiter coldStarts;
    decisions::rejection_limiter rejections;
    decisions::server_rests rests;
    decisions::server_pace pace;
    decisions::recent_failures failures;
    decisions::silence_detector silence;
    decisions::stalled_attempts stalls; ///< of this node's attempts at backend servers
    std::map<std::string, decisions::response_times> responseTimes; ///< by service
    std::map<std::string, decisions::load_shedder> shedders; ///< by service
    std::map<std::string, decisions::overload_control> overload; ///< by service
    std::map<std::string, decisions::request_work> work; ///< by service
    std::map<std::string, decisions::bound_view> boundViews; ///< by service, as of the last choice
    std::size_t peerCount = 0; ///< other nodes that this one knows
    decisions::loop_delay loopDelay; ///< of this node's event loop
    decisions::crashing_parts crashingParts;
    decisions::undecided_losses<lost_attempt> undecidedLosses;
    std::map<utils::server_id, seen_crash> crashedServers; ///< that have said nothing since
    std::function<void()> onPartsCleared; ///< sends the news of crashing parts to peers; may be empty
    std::map<std::string, decisions::repeat_allowance> repeats; ///< by service
    connection_pool pool;
    node_metrics metrics;
    std::uint64_t requestsInProgress = 0;
    std::uint64_t sentRequests = 0; ///< to backend servers, since the start
    std::uint64_t nextRequestNumber = 1;
    decisions::fleet_size fleetSize;
    decisions::service_window window; ///< when the node accepts requests
    utils::time_point evidenceAt {}; ///< last time the configuration in force was known to be the newest

    /// The allowance of repeats at a service.
    decisions::repeat_allowance& repeatsOf(const std::string& service);
    /// Response time statistics of a service.
    decisions::response_times& responseTimesOf(const std::string& service);
    /// Statistics of the time that requests of a service hold a slot.
    decisions::request_work& workOf(const std::string& service);
    /// Requests with one part that an engine of the service should get, see decisions::crowd_register.
    double crowdShareOf(const std::string& service);
    /// How long a request of that urgency waits for a slot at a backend server to which `requests` were sent
    /// before it.
    utils::duration slotWait(const std::string& service, const catalogue::backend_server& server,
        std::uint32_t requests, int urgency, utils::time_point present);
    /// How long a backend server may be silent while it reads prompts that other nodes have sent.
    utils::duration peerPrefillTime(
        const std::string& service, const utils::server_id& server, utils::time_point present) const;
    /// Whether a backend server seems to be down: it has requests in progress and sends nothing.
    bool isSilent(
        const std::string& service, const utils::server_id& server, utils::time_point present) const;
    /// The services of which this node hears nothing: requests wait, and most of the servers that have them
    /// send nothing. Ordered by name.
    std::vector<std::string> quietServices(utils::time_point present) const;
    /// Whether a backend server is cold, or may be. Always false where `traits` is empty.
    bool isCold(const utils::server_id& server, const std::optional<catalogue::cold_start_traits>& traits,
        utils::time_point present) const;
    /// Whether a backend server wants no requests from this node for now.
    bool isResting(const catalogue::backend_server& server, utils::time_point present);
    /// Records where another node has placed a prompt.
    void learnPlacement(const decisions::placement_update& note);
    /// Whether the view of the backend servers is too old to send requests: peers have had newer revisions
    /// for so long that servers may have left since.
    bool isViewTooOld(utils::time_point present) const;
    /// Records the result of opening a connection to a backend server; `error` is empty if it was accepted.
    void recordConnect(const utils::server_id& server, const std::string& error, utils::time_point present);
    /// Forgets what was learned of the servers of a service while they were out of reach.
    void resetServers(const std::string& service);
    /// The path to one service is lost, so those to the others have to be probed.
    void suspectOtherServices(const std::string& service);
    /// Updates the health tracking and the software versions to the current directory of backend servers.
    void updateServers();

private:
    utils::duration initialOccupancy(const std::string& service) const;
};

} // namespace gateway
