#pragma once

#include "utils/time.h"

#include <boost/json/object.hpp>

#include <optional>
#include <string>
#include <vector>

namespace ctl {

/// What asking the daemons gave.
struct client_answer {
    unsigned status = 0; ///< HTTP; 0: no daemon answered
    boost::json::object body;
    std::string error; ///< of the last daemon that did not answer
    /// A daemon got the request, and neither it nor another told how it ended.
    bool isAmbiguous = false;
};

/// Asks the daemons' operator listeners over HTTP, one after the other until one can answer. A change
/// carries its id, so that asking a second daemon after a lost answer cannot make it twice.
/// Not thread safe.
class operator_client {
public:
    operator_client(std::vector<std::string> endpoints, std::string key, utils::duration timeout);

    client_answer ask(const std::string& method, const std::string& target, const std::string& body = {});

private:
    std::vector<std::string> m_endpoints;
    std::string m_key;
    utils::duration m_timeout;
};

} // namespace ctl
