#pragma once

#include "config/changerequest.h"
#include "config/configsnapshot.h"

#include <boost/asio/awaitable.hpp>

#include <string>

namespace keyvalue {

/// Result of reading the configuration.
struct snapshot_reply {
    config::snapshot_pointer snapshot; ///< null if the read failed
    std::string error;
};

/// Interface to read and change the configuration, independent of the storage behind it. Not thread safe:
/// use it on one executor that runs one handler at a time.
class config_access {
public:
    virtual ~config_access() = default;

    /// The newest snapshot known locally; before the first read, an empty one with revision 0. Never null.
    virtual const config::snapshot_pointer& cached() const = 0;
    /// Reads the current configuration.
    virtual boost::asio::awaitable<snapshot_reply> read() = 0;
    /// Applies a change to the configuration.
    virtual boost::asio::awaitable<config::change_outcome> change(config::change_request request) = 0;
};

} // namespace keyvalue
