#pragma once

#include "actions.h"

#include <boost/json.hpp>

namespace operations {

/// Encodes an answer, with the body in base64. Thread safe.
boost::json::object toJson(const stored_answer& answer);
/// Inverse of toJson. Throws boost::system::system_error or std::exception if the value has another
/// structure. Thread safe.
stored_answer answerFromJson(const boost::json::value& value);

} // namespace operations
