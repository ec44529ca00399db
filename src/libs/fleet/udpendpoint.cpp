#include "udpendpoint.h"

#include "utils/processclock.h"

#include <boost/asio/buffer.hpp>

#include <charconv>
#include <chrono>
#include <optional>
#include <utility>

namespace fleet {

namespace {

namespace asio = boost::asio;
using asio::ip::udp;

/// Inverse of toText(). Returns nothing if `text` is not "ip:port".
std::optional<udp::endpoint> toEndpoint(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return {};
    boost::system::error_code error;
    std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    const auto address = asio::ip::make_address(host, error);
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto [stop, status] = std::from_chars(text.data() + colon + 1, end, port);
    if (error || status != std::errc() || stop != end)
        return {};
    return udp::endpoint(address, port);
}

std::string toText(const udp::endpoint& endpoint)
{
    const std::string host = endpoint.address().to_string();
    const std::string port = std::to_string(endpoint.port());
    return endpoint.address().is_v6() ? "[" + host + "]:" + port : host + ":" + port;
}

} // namespace

udp_endpoint::udp_endpoint(const asio::any_io_executor& executor, const udp::endpoint& listen,
    fleet_node& node, action_handler onAction)
    : m_socket(executor, listen)
    , m_timer(executor)
    , m_node(node)
    , m_onAction(std::move(onAction))
{
    m_socket.non_blocking(true);
}

void udp_endpoint::start()
{
    receive();
    flush();
    schedule();
}

void udp_endpoint::stop()
{
    m_isStopped = true;
    m_timer.cancel();
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

void udp_endpoint::with(const std::function<void(fleet_node&, utils::time_point)>& event)
{
    event(m_node, utils::processNow());
    flush();
    schedule();
}

udp::endpoint udp_endpoint::localEndpoint() const
{
    return m_socket.local_endpoint();
}

void udp_endpoint::receive()
{
    m_socket.async_receive_from(
        asio::buffer(m_buffer), m_from, [this](const boost::system::error_code& error, std::size_t size) {
            if (m_isStopped || error == asio::error::operation_aborted)
                return;
            // Other errors report that an earlier datagram reached no listener; receiving continues.
            if (!error) {
                m_node.onDatagram({ m_buffer.data(), size }, toText(m_from), utils::processNow());
                flush();
            }
            receive();
        });
}

void udp_endpoint::schedule()
{
    if (m_isStopped)
        return;
    const utils::time_point due = m_node.nextTick();
    const auto never = utils::time_point::max();
    // A node without a VM list has nothing due; with() reschedules once it has a list.
    constexpr auto idle = std::chrono::seconds(1);
    const utils::duration wait = due == never ? utils::duration(idle) : due - utils::processNow();
    m_timer.expires_after(std::max(wait, utils::duration::zero()));
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (error || m_isStopped)
            return;
        m_node.onTick(utils::processNow());
        flush();
        schedule();
    });
}

void udp_endpoint::flush()
{
    for (const outgoing_datagram& datagram : m_node.takeDatagrams()) {
        const std::optional<udp::endpoint> to = toEndpoint(datagram.address);
        boost::system::error_code error = asio::error::invalid_argument;
        if (to)
            m_socket.send_to(asio::buffer(datagram.bytes), *to, 0, error);
        m_sendFailures += error ? 1 : 0;
    }
    for (const fleet_action& action : m_node.takeActions())
        m_onAction(action);
}

} // namespace fleet
