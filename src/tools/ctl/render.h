#pragma once

#include <boost/json/object.hpp>

#include <string>

namespace ctl {

/// Answers of the operators' API as text for people. Thread safe.
std::string renderStatus(const boost::json::object& body);
std::string renderHistory(const boost::json::object& body);
std::string renderDrafts(const boost::json::object& body);
std::string renderSteps(const boost::json::object& body);
std::string renderDiffs(const boost::json::object& body);
std::string renderChange(const boost::json::object& body);
/// What a refusal says, with the problems of a document and the difference of a conflict.
std::string renderProblem(const boost::json::object& body);

/// Any answer as YAML. Thread safe.
std::string renderYaml(const boost::json::object& body);

} // namespace ctl
