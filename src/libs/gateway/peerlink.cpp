#include "peerlink.h"

#include "clock.h"

#include "utils/eventlog.h"

#include "wire/acceptloop.h"
#include "wire/connect.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include <array>

namespace gateway {

namespace {

namespace asio = boost::asio;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

constexpr std::size_t largestBeat = 8192; // bytes; some hundred backend servers
constexpr std::uint32_t largestView = 16 * 1024 * 1024; // bytes; a value of the store has one megabyte
constexpr utils::duration fetchTime
    = std::chrono::milliseconds(500); // a view takes some ms; then another peer

} // namespace

peer_link::peer_link(asio::any_io_executor executor, peer_events events)
    : m_executor(std::move(executor))
    , m_events(std::move(events))
    , m_datagrams(m_executor)
    , m_acceptor(m_executor)
{
}

void peer_link::listen(const asio::ip::tcp::endpoint& address)
{
    const asio::ip::udp::endpoint local(address.address(), address.port());
    m_datagrams.open(local.protocol());
    m_datagrams.bind(local);
    m_acceptor = wire::listenOn(m_executor, address);
    asio::co_spawn(m_executor, receiveBeats(), asio::detached);
    asio::co_spawn(m_executor,
        wire::acceptLoop(m_acceptor,
            [self = shared_from_this()](
                asio::ip::tcp::socket socket) { return self->answer(std::move(socket)); }),
        asio::detached);
}

void peer_link::send(const std::string& address, const std::string& beat)
{
    const auto endpoint = wire::parseEndpoint(address);
    if (!endpoint)
        return;
    boost::system::error_code ignored; // a beat that is lost is followed by the next one
    m_datagrams.send_to(asio::buffer(beat), { endpoint->address(), endpoint->port() }, 0, ignored);
}

void peer_link::close()
{
    boost::system::error_code ignored; // nothing can be done about a close that fails
    m_datagrams.close(ignored);
    m_acceptor.close(ignored);
}

asio::awaitable<void> peer_link::receiveBeats()
{
    const auto self = shared_from_this();
    std::string bytes(largestBeat, '\0');
    while (m_datagrams.is_open()) {
        asio::ip::udp::endpoint sender;
        const auto [error, count]
            = co_await m_datagrams.async_receive_from(asio::buffer(bytes), sender, asTuple);
        if (error == asio::error::operation_aborted)
            co_return;
        if (error)
            continue;
        const auto beat = decodeBeat(std::string_view(bytes).substr(0, count));
        if (beat)
            m_events.onBeat(*beat);
    }
}

asio::awaitable<void> peer_link::answer(asio::ip::tcp::socket socket)
{
    const auto self = shared_from_this();
    const auto shared = std::make_shared<asio::ip::tcp::socket>(std::move(socket));
    boost::system::error_code unknown; // a connection that is gone has no address; its read fails
    const std::string peer = wire::toText(shared->remote_endpoint(unknown));
    asio::steady_timer timer(m_executor, fetchTime);
    timer.async_wait([shared](const boost::system::error_code& error) {
        boost::system::error_code ignored; // the peer asks another node
        if (!error)
            shared->close(ignored);
    });
    std::string asked(requestSize(), '\0');
    const auto [readError, read] = co_await asio::async_read(*shared, asio::buffer(asked), asTuple);
    const auto request = decodeRequest(asked);
    if (readError || !request)
        co_return;
    const std::string view = encodeView(m_events.makeView(*request));
    std::array<unsigned char, 4> size {};
    boost::endian::store_big_u32(size.data(), static_cast<std::uint32_t>(view.size()));
    const std::array<asio::const_buffer, 2> buffers { asio::buffer(size), asio::buffer(view) };
    const utils::time_point startedAt = now();
    const auto [writeError, written] = co_await asio::async_write(*shared, buffers, asTuple);
    timer.cancel();
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(now() - startedAt);
    utils::logEvent(utils::event::ViewCopySent,
        { { "peer", peer }, { "end", writeError ? "cut" : "done" }, { "bytes", std::to_string(written) },
            { "ms", std::to_string(took.count()) } });
}

asio::awaitable<std::optional<view_copy>> peer_link::fetchView(std::string address, view_request request)
{
    const auto self = shared_from_this();
    const auto endpoint = wire::parseEndpoint(address);
    if (!endpoint)
        co_return std::nullopt;
    const auto socket = std::make_shared<asio::ip::tcp::socket>(m_executor);
    asio::steady_timer timer(m_executor, fetchTime);
    timer.async_wait([socket](const boost::system::error_code& error) {
        boost::system::error_code ignored; // the read that waits ends either way
        if (!error)
            socket->close(ignored);
    });
    const auto [connectError] = co_await socket->async_connect(*endpoint, asTuple);
    if (connectError)
        co_return std::nullopt;
    const std::string asked = encodeRequest(request);
    const auto [writeError, written] = co_await asio::async_write(*socket, asio::buffer(asked), asTuple);
    if (writeError)
        co_return std::nullopt;
    std::array<unsigned char, 4> size {};
    const auto [sizeError, sizeRead] = co_await asio::async_read(*socket, asio::buffer(size), asTuple);
    const std::uint32_t length = boost::endian::load_big_u32(size.data());
    if (sizeError || length > largestView)
        co_return std::nullopt;
    std::string bytes(length, '\0');
    const auto [error, count] = co_await asio::async_read(*socket, asio::buffer(bytes), asTuple);
    if (error)
        co_return std::nullopt;
    timer.cancel();
    co_return decodeView(bytes);
}

} // namespace gateway
