#include "backendpool.h"

#include "wire/connect.h"

#include "servingconstants.h"

namespace serving {

namespace asio = boost::asio;

backend_pool::backend_pool(asio::any_io_executor executor, asio::ssl::context* tls)
    : m_executor(std::move(executor))
    , m_tls(tls)
{
}

asio::awaitable<std::unique_ptr<backend_connection>> backend_pool::acquire(
    std::string address, bool mustBeNew)
{
    if (!mustBeNew) {
        auto& kept = m_idle[address];
        while (!kept.empty()) {
            auto connection = std::move(kept.back());
            kept.pop_back();
            if (!connection->stream.isOpen())
                continue;
            connection->isReused = true;
            co_return connection;
        }
    }
    co_return co_await open(address);
}

void backend_pool::release(const std::string& address, std::unique_ptr<backend_connection> connection)
{
    if (!connection || !connection->stream.isOpen() || connection->buffer.size() > 0)
        return;
    auto& kept = m_idle[address];
    if (kept.size() < idleConnectionsKept)
        kept.push_back(std::move(connection));
}

void backend_pool::forget(const std::string& address)
{
    m_idle.erase(address);
}

asio::awaitable<std::unique_ptr<backend_connection>> backend_pool::open(const std::string& address)
{
    auto socket = co_await wire::connectTo(m_executor, address, connectTimeout);
    if (!socket)
        co_return nullptr;
    if (m_tls == nullptr)
        co_return std::make_unique<backend_connection>(net_stream(std::move(*socket)));
    auto connection = std::make_unique<backend_connection>(net_stream(std::move(*socket), *m_tls));
    if (!co_await connection->stream.handshake(asio::ssl::stream_base::client))
        co_return nullptr;
    co_return connection;
}

} // namespace serving
