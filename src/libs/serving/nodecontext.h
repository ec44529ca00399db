#pragma once

#include "fleetview.h"
#include "servingmetrics.h"
#include "tracer.h"

#include "config/document.h"
#include "config/settings.h"
#include "decisions/loadview.h"
#include "decisions/outlierejector.h"
#include "decisions/poisonregister.h"
#include "decisions/retrybudget.h"

#include <boost/asio/any_io_executor.hpp>

#include <map>
#include <memory>

namespace serving {

/// What the parts of one node share. Lives as long as the node; used on its one thread.
struct node_context {
    node_context(boost::asio::any_io_executor ex, config::settings s)
        : executor(std::move(ex))
        , settings(std::move(s))
        , traces(settings.node.str(), settings.tracesFile)
    {
    }

    /// Whether a balancer may send callers here.
    bool isReady(utils::time_point now) const { return document && !isLeaving && fleet->isCurrent(now); }

    boost::asio::any_io_executor executor;
    config::settings settings;
    tracer traces;
    serving_metrics metrics;
    fleet_view* fleet = nullptr; ///< set before the first request
    std::shared_ptr<const config::document> document; ///< in force; null until the first one
    decisions::poison_register poison;
    decisions::retry_budget retries;
    std::map<utils::pool_id, decisions::outlier_ejector> ejectors;
    std::map<utils::pool_id, decisions::load_view> loads;
    std::size_t requestsInProgress = 0;
    bool isLeaving = false;
};

} // namespace serving
