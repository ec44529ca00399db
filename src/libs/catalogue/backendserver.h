#pragma once

#include "utils/ids.h"

#include <cstdint>
#include <string>

namespace catalogue {

/// What a backend server says of itself.
struct backend_server {
    utils::server_id id;
    std::string service;
    std::string address; ///< "ip:port"
    std::string dataCentre;
    unsigned slots = 1; ///< requests that it runs at once
    bool isDraining = false; ///< takes nothing new
    std::uint64_t startedAtMs = 0; ///< Unix milliseconds of its start: tells two lives under one id apart
    std::uint64_t revision = 0; ///< of the entry
};

} // namespace catalogue
