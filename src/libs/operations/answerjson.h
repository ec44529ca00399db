#pragma once

#include "actions.h"

#include <boost/json.hpp>

namespace operations {

/// Thread safe.
boost::json::object toJson(const stored_answer& answer);
/// Throws boost::system::system_error or std::exception for a value of another shape. Thread safe.
stored_answer answerFromJson(const boost::json::value& value);

} // namespace operations
