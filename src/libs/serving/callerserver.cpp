#include "callerserver.h"

#include "wire/acceptloop.h"
#include "wire/task.h"

namespace serving {

namespace asio = boost::asio;

caller_server::caller_server(node_context& context, caller_services services, asio::ssl::context* tls)
    : m_context(context)
    , m_services(services)
    , m_tls(tls)
    , m_acceptor(context.executor)
{
}

void caller_server::start(const asio::ip::tcp::endpoint& endpoint)
{
    m_acceptor = wire::listenOn(m_context.executor, endpoint);
    wire::startTask(m_context.executor, "accept_callers",
        wire::acceptLoop(
            m_acceptor, [this](asio::ip::tcp::socket socket) { return session(std::move(socket)); }));
}

void caller_server::leave()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    for (caller_session* session : m_sessions)
        session->leave();
}

asio::awaitable<void> caller_server::session(asio::ip::tcp::socket socket)
{
    net_stream stream
        = m_tls == nullptr ? net_stream(std::move(socket)) : net_stream(std::move(socket), *m_tls);
    const auto session = std::make_shared<caller_session>(m_context, m_services, std::move(stream));
    m_sessions.insert(session.get());
    co_await session->run();
    m_sessions.erase(session.get());
}

} // namespace serving
