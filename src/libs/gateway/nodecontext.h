#pragma once

#include "connectionpool.h"
#include "nodemetrics.h"
#include "nodeoptions.h"

#include "catalogue/configuration.h"
#include "catalogue/serverdirectory.h"

#include "decisions/loadshedding.h"
#include "decisions/poisonregister.h"
#include "decisions/recentfailures.h"
#include "decisions/repeatallowance.h"
#include "decisions/responsetimes.h"
#include "decisions/serverchoice.h"
#include "decisions/serverhealth.h"
#include "decisions/serverload.h"
#include "decisions/servicewindow.h"
#include "decisions/silencedetector.h"
#include "decisions/viewlag.h"

#include "utils/errorkind.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace gateway {

/// A request at a backend server, for the suspects of a crash.
struct running_request {
    utils::server_id server;
    std::uint64_t serverBornAt = 0;
    decisions::body_digest digest;
};

/// Everything that the parts of a node share. Not thread safe.
struct node_context {
    node_context(boost::asio::any_io_executor ioExecutor, node_options nodeOptions);

    boost::asio::any_io_executor executor;
    node_options options;
    catalogue::configuration_ptr configuration; ///< in force; null before the first
    catalogue::server_directory servers;
    decisions::view_lag viewLag; ///< of the directory of backend servers
    decisions::server_loads loads;
    decisions::server_choice choice;
    decisions::server_health health;
    decisions::recent_failures failures;
    decisions::silence_detector silence;
    std::map<std::string, decisions::response_times> responseTimes; ///< by service
    std::map<std::string, decisions::load_shedder> shedders; ///< by service
    decisions::poison_register poison;
    std::map<std::string, decisions::repeat_allowance> repeats; ///< by service
    connection_pool pool;
    node_metrics metrics;
    std::uint64_t requestsInProgress = 0;
    std::uint64_t sentRequests = 0; ///< to backend servers, since the start
    std::map<std::uint64_t, running_request> runningRequests; ///< by a number of this node
    std::uint64_t nextRequestNumber = 1;
    unsigned maxNodesSeen = 1; ///< the most nodes known at once, this one with them
    decisions::service_window window; ///< when it takes requests
    utils::time_point evidenceAt {}; ///< last sign that the configuration in force is the newest

    /// The repeats that may be sent to a service.
    decisions::repeat_allowance& repeatsOf(const std::string& service);
    /// What is learned of a service's answers.
    decisions::response_times& responseTimesOf(const std::string& service);
    /// How long a backend server may say nothing for the prompts that other nodes have sent there.
    utils::duration peerPrefillTime(
        const std::string& service, const utils::server_id& server, utils::time_point present) const;
    /// Whether a backend server seems to be down: requests wait there, and nothing comes.
    bool isSilent(
        const std::string& service, const utils::server_id& server, utils::time_point present) const;
    /// Another node has placed a prompt.
    void learnPlacement(const decisions::placement_update& note);
    /// Whether the view of the backend servers is too old to send requests by: peers have known more for so
    /// long that servers may have left in the meantime.
    bool isViewTooOld(utils::time_point present) const;
    /// Health follows the directory.
    void updateHealth();
};

} // namespace gateway
