#pragma once

#include "nodeview.h"

#include "config/changerequest.h"
#include "config/confighead.h"
#include "config/problem.h"

#include <boost/json/object.hpp>

namespace operators {

/// JSON bodies of the operators' API, which lycheefrontctl renders. Thread safe.
boost::json::object toJson(const config::problem& p);
boost::json::array toJson(const std::vector<config::problem>& problems);
boost::json::object toJson(const config::change_record& record);
boost::json::object toJson(const node_status& node);
boost::json::object toJson(const server_status& server);
boost::json::object toJson(const queue_status& queue);
boost::json::object toJson(const fleet_status& status);
boost::json::object toJson(const spread_status& status);
boost::json::object toJson(const draft_status& draft);
/// Body of type application/problem+json with the details that an operator needs to correct the problem.
/// Thread safe.
boost::json::object toProblem(const config::change_outcome& outcome);
/// As above, for a failure without a change outcome. Thread safe.
boost::json::object toProblem(const utils::failure& failure);

} // namespace operators
