#pragma once

#include "utils/ids.h"
#include "utils/time.h"

#include <cstdint>
#include <string>

namespace catalogue {

/// The entry that a backend server registers in the store.
struct backend_server {
    utils::server_id id;
    std::string service; ///< name of the service that it belongs to
    std::string address; ///< "ip:port"
    std::string dataCentre;
    std::string softwareVersion; ///< versions have no order
    unsigned slots = 1; ///< requests that it runs concurrently
    bool isDraining = false; ///< takes no new requests
    std::uint64_t startedAtMs = 0; ///< Unix milliseconds; distinguishes restarts under one id
    utils::duration coldFor {}; ///< time from the write of the entry until it can take its full load
    std::uint64_t revision = 0; ///< of the entry in the store
};

} // namespace catalogue
