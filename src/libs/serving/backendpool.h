#pragma once

#include "backendexchange.h"

#include <boost/asio/any_io_executor.hpp>

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace serving {

/// Connections to backend servers, kept open between requests. Not thread safe.
class backend_pool {
public:
    /// `tls` null: plain TCP. Precondition: it outlives the pool.
    explicit backend_pool(boost::asio::any_io_executor executor, boost::asio::ssl::context* tls = nullptr);

    /// A kept or new connection; null when the server cannot be reached, so nothing was sent to it.
    /// `mustBeNew`: a request that may not run twice takes no kept connection, since one that turns out
    /// to be closed leaves open whether the request arrived.
    boost::asio::awaitable<std::unique_ptr<backend_connection>> acquire(std::string address, bool mustBeNew);
    /// Keeps a connection for the next request. Null is allowed and ignored.
    void release(const std::string& address, std::unique_ptr<backend_connection> connection);
    /// Closes the kept connections to an address.
    void forget(const std::string& address);

private:
    boost::asio::awaitable<std::unique_ptr<backend_connection>> open(const std::string& address);

    boost::asio::any_io_executor m_executor;
    boost::asio::ssl::context* m_tls;
    std::map<std::string, std::vector<std::unique_ptr<backend_connection>>> m_idle;
};

} // namespace serving
