#include "faultproxy.h"

#include "standins_common/httplistener.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace platform_standin {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
// Longer than a node waits before it tries elsewhere, shorter than callers wait.
constexpr auto slowBy = std::chrono::milliseconds(300);
constexpr std::size_t pieceSize = 16384;
constexpr std::size_t fillers = 3; // more than a listener with an empty queue takes

} // namespace

fault_proxy::fault_proxy(standin_thread& thread, unsigned short target, const std::string& host)
    : m_thread(thread)
    , m_target(target)
    , m_host(asio::ip::make_address(host))
{
    const auto acceptor = std::make_shared<tcp::acceptor>(m_thread.io(), tcp::endpoint(m_host, 0));
    m_port = acceptor->local_endpoint().port();
    m_acceptor = acceptor;
    asio::co_spawn(m_thread.io(), acceptAll(acceptor), asio::detached);
}

void fault_proxy::set(link_state state)
{
    m_state = state;
    asio::post(m_thread.io(), [this, state] {
        listenAs(state);
        if (state != link_state::Refusing)
            return;
        for (const auto& each : m_links)
            reset(*each);
    });
}

void fault_proxy::listenAs(link_state state)
{
    if (m_acceptor && m_fillers.empty() && state != link_state::ClosedToNew && state != link_state::Lost)
        return;
    boost::system::error_code ignored; // it may be closed already
    if (m_acceptor)
        m_acceptor->close(ignored);
    m_acceptor.reset();
    m_fillers.clear();
    if (state == link_state::ClosedToNew)
        return;
    m_acceptor = std::make_shared<tcp::acceptor>(m_thread.io());
    m_acceptor->open(tcp::v4());
    m_acceptor->set_option(asio::socket_base::reuse_address(true));
    m_acceptor->bind({ m_host, m_port });
    if (state == link_state::Lost)
        return blockListener();
    m_acceptor->listen();
    asio::co_spawn(m_thread.io(), acceptAll(m_acceptor), asio::detached);
}

void fault_proxy::blockListener()
{
    m_acceptor->listen(0);
    m_fillers.reserve(fillers);
    for (std::size_t i = 0; i < fillers; ++i) {
        m_fillers.emplace_back(m_thread.io());
        m_fillers.back().async_connect({ m_host, m_port }, [](const boost::system::error_code&) {});
    }
}

asio::awaitable<void> fault_proxy::acceptAll(std::shared_ptr<tcp::acceptor> acceptor)
{
    while (acceptor->is_open()) {
        const auto accepted = std::make_shared<link>(m_thread.io());
        const auto [error] = co_await acceptor->async_accept(accepted->caller, asTuple);
        if (!error)
            asio::co_spawn(m_thread.io(), serve(accepted), asio::detached);
    }
}

asio::awaitable<void> fault_proxy::serve(std::shared_ptr<link> link)
{
    const tcp::endpoint target(asio::ip::address_v4::loopback(), m_target);
    const auto [error] = co_await link->server.async_connect(target, asTuple);
    if (error || m_state == link_state::Refusing) {
        reset(*link);
        co_return;
    }
    m_links.insert(link);
    asio::co_spawn(m_thread.io(), pump(link, true), asio::detached);
    co_await pump(link, false);
}

asio::awaitable<void> fault_proxy::pump(std::shared_ptr<link> link, bool isToServer)
{
    tcp::socket& from = isToServer ? link->caller : link->server;
    tcp::socket& to = isToServer ? link->server : link->caller;
    std::array<char, pieceSize> piece {};
    while (true) {
        const auto [readError, count] = co_await from.async_read_some(asio::buffer(piece), asTuple);
        if (m_state == link_state::Slow)
            co_await standins_common::pauseFor(slowBy);
        link->isBroken = link->isBroken || loses(isToServer);
        if (readError)
            break;
        if (link->isBroken)
            continue;
        const auto [writeError, written]
            = co_await asio::async_write(to, asio::buffer(piece.data(), count), asTuple);
        if (writeError)
            break;
    }
    boost::system::error_code ignored; // the other side may have closed first
    if (link->isBroken)
        from.close(ignored); // a partition loses the end of a connection too
    else
        to.shutdown(tcp::socket::shutdown_send, ignored);
    if (--link->openWays == 0)
        m_links.erase(link);
}

bool fault_proxy::loses(bool isToServer) const
{
    switch (m_state.load()) {
    case link_state::Silent:
    case link_state::Lost:
        return true;
    case link_state::CutToServer:
        return isToServer;
    case link_state::CutToCaller:
        return !isToServer;
    case link_state::Open:
    case link_state::Slow:
    case link_state::Refusing:
    case link_state::ClosedToNew:
        break;
    }
    return false;
}

void fault_proxy::reset(link& link)
{
    boost::system::error_code ignored; // it may be closed already
    link.caller.set_option(asio::socket_base::linger(true, 0), ignored);
    link.caller.close(ignored);
    link.server.set_option(asio::socket_base::linger(true, 0), ignored);
    link.server.close(ignored);
}

} // namespace platform_standin
