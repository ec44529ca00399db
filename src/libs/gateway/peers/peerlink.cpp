#include "peerlink.h"

#include "copystream.h"
#include "datagramcodec.h"
#include "gateway/clock.h"

#include "utils/eventlog.h"

#include "wire/acceptloop.h"
#include "wire/connect.h"
#include "wire/task.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>

namespace gateway {

namespace {

namespace asio = boost::asio;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

constexpr std::size_t maxDatagramBytes = 8192; // enough for about a hundred backend servers
constexpr std::uint32_t maxCopyBytes = 16 * 1024 * 1024; // a value of the store has at most one megabyte
constexpr std::array<std::string_view, static_cast<std::size_t>(copy_outcome::Count_)> copyOutcomes { "done",
    "busy", "no_answer" };

void logCopySent(const std::string& peer, copy_outcome outcome, std::size_t bytes, utils::duration took)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(took).count();
    utils::logEvent(utils::event::ViewCopySent,
        { { "peer", peer }, { "end", std::string(toString(outcome)) }, { "bytes", std::to_string(bytes) },
            { "ms", std::to_string(milliseconds) } });
}

} // namespace

std::string_view toString(copy_outcome outcome)
{
    return copyOutcomes.at(static_cast<std::size_t>(outcome));
}

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
    wire::startTask(m_executor, "receive_datagrams", receiveDatagrams());
    wire::startTask(m_executor, "accept_copies",
        wire::acceptLoop(
            m_acceptor,
            [self = shared_from_this()](
                asio::ip::tcp::socket socket) { return self->serveCopy(std::move(socket)); },
            "serve_copy"));
}

void peer_link::sendDatagram(const std::string& address, const std::string& datagram)
{
    const auto endpoint = wire::parseEndpoint(address);
    if (!endpoint)
        return;
    boost::system::error_code ignored; // as if the datagram were lost on its way
    m_datagrams.send_to(asio::buffer(datagram), { endpoint->address(), endpoint->port() }, 0, ignored);
}

void peer_link::close()
{
    boost::system::error_code ignored; // a failed close needs no handling
    m_datagrams.close(ignored);
    m_acceptor.close(ignored);
}

asio::awaitable<void> peer_link::receiveDatagrams()
{
    const auto self = shared_from_this();
    std::string bytes(maxDatagramBytes, '\0');
    while (m_datagrams.is_open()) {
        asio::ip::udp::endpoint sender;
        const auto [error, count]
            = co_await m_datagrams.async_receive_from(asio::buffer(bytes), sender, asTuple);
        if (error == asio::error::operation_aborted)
            co_return;
        if (error)
            continue;
        const std::string_view datagram = std::string_view(bytes).substr(0, count);
        if (isStreamMessage(datagram)) {
            if (const auto message = decodeStreamMessage(datagram))
                m_events.onStreamMessage(*message);
            continue;
        }
        if (isCrashMessage(datagram)) {
            if (const auto message = decodeCrashMessage(datagram))
                m_events.onCrashMessage(*message);
            continue;
        }
        if (detail::isMessage<rest_message>(datagram)) {
            if (const auto message = detail::decodeMessage<rest_message>(datagram))
                m_events.onRestMessage(*message);
            continue;
        }
        if (detail::isMessage<work_message>(datagram)) {
            if (const auto message = detail::decodeMessage<work_message>(datagram))
                m_events.onWorkMessage(*message);
            continue;
        }
        if (detail::isMessage<crowd_message>(datagram)) {
            if (const auto message = detail::decodeMessage<crowd_message>(datagram))
                m_events.onCrowdMessage(*message);
            continue;
        }
        if (detail::isMessage<load_message>(datagram)) {
            if (const auto message = detail::decodeMessage<load_message>(datagram))
                m_events.onLoadMessage(*message);
            continue;
        }
        const auto heartbeat = decodeHeartbeat(datagram);
        if (heartbeat)
            m_events.onHeartbeat(*heartbeat);
    }
}

decisions::copy_gate& peer_link::gateOf(view_part part)
{
    return part == view_part::Configuration ? m_configurationCopies : m_serverCopies;
}

asio::awaitable<void> peer_link::serveCopy(asio::ip::tcp::socket socket)
{
    const auto self = shared_from_this();
    const auto stream = std::make_shared<copy_stream>(std::move(socket));
    const std::string peer = stream->peerAddress();
    const auto request = decodeRequest(co_await stream->readRequest(requestSize()));
    if (!request)
        co_return;
    const utils::time_point startedAt = now();
    decisions::copy_gate& gate = gateOf(request->part);
    std::string copy;
    if (request->part != view_part::Configuration || !gate.isFull())
        copy = encodeView(m_events.makeCopy(*request));
    const std::size_t size = copy.size();
    if (copy.empty() || !gate.tryBegin(size)) {
        logCopySent(peer, copy_outcome::Busy, 0, now() - startedAt);
        co_await stream->refuse();
        co_return;
    }
    const std::size_t sent = co_await stream->send(std::move(copy));
    gate.end(size);
    logCopySent(peer, sent == size ? copy_outcome::Done : copy_outcome::NoAnswer, sent, now() - startedAt);
}

asio::awaitable<fetched_copy> peer_link::fetchView(std::string address, view_request request)
{
    const auto self = shared_from_this();
    fetched_copy copy;
    const auto endpoint = wire::parseEndpoint(address);
    if (!endpoint)
        co_return copy;
    const auto stream = std::make_shared<copy_stream>(asio::ip::tcp::socket(m_executor));
    if (!co_await stream->connect(*endpoint))
        co_return copy;
    const auto size = co_await stream->requestCopy(encodeRequest(request));
    if (!size || *size > maxCopyBytes)
        co_return copy;
    if (*size == 0) {
        copy.outcome = copy_outcome::Busy;
        co_return copy;
    }
    const std::string bytes = co_await stream->receive(*size);
    copy.bytes = bytes.size();
    auto view = bytes.size() == *size ? decodeView(bytes) : std::nullopt;
    if (!view)
        co_return copy;
    copy.outcome = copy_outcome::Done;
    copy.view = std::move(*view);
    co_return copy;
}

} // namespace gateway
