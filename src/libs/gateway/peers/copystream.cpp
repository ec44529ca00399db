#include "copystream.h"

#include "wire/connect.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include <array>

namespace gateway {

namespace {

namespace asio = boost::asio;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

constexpr std::size_t chunkSize = 32768; // bytes
constexpr std::size_t sizeFieldBytes = 4; // length of the size field in front of a copy
constexpr char acknowledgement = '\6';
// For each chunk, acknowledgement or size field.
constexpr utils::duration stepTimeout = std::chrono::milliseconds(500);

} // namespace

copy_stream::copy_stream(asio::ip::tcp::socket socket)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
{
}

std::string copy_stream::peerAddress() const
{
    boost::system::error_code error;
    const auto endpoint = m_socket.remote_endpoint(error);
    return error ? std::string() : wire::toText(endpoint);
}

asio::awaitable<bool> copy_stream::connect(asio::ip::tcp::endpoint endpoint)
{
    const auto self = shared_from_this();
    startStepTimer();
    const auto [error] = co_await m_socket.async_connect(endpoint, asTuple);
    m_timer.cancel();
    if (error)
        co_return false;
    boost::system::error_code ignored; // the next write fails if the socket is closed
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    co_return true;
}

asio::awaitable<std::optional<std::size_t>> copy_stream::requestCopy(std::string request)
{
    const auto self = shared_from_this();
    std::array<unsigned char, sizeFieldBytes> size {};
    if (!co_await writeAll(request.data(), request.size()))
        co_return std::nullopt;
    if (!co_await readAll(reinterpret_cast<char*>(size.data()), size.size()))
        co_return std::nullopt;
    co_return boost::endian::load_big_u32(size.data());
}

asio::awaitable<std::string> copy_stream::receive(std::size_t size)
{
    const auto self = shared_from_this();
    std::string bytes;
    while (bytes.size() < size) {
        const std::size_t before = bytes.size();
        bytes.resize(std::min(size, before + chunkSize));
        if (!co_await readAll(bytes.data() + before, bytes.size() - before)
            || !co_await writeAll(&acknowledgement, 1)) {
            bytes.resize(before);
            co_return bytes;
        }
    }
    co_return bytes;
}

asio::awaitable<std::string> copy_stream::readRequest(std::size_t size)
{
    const auto self = shared_from_this();
    std::string request(size, '\0');
    if (!co_await readAll(request.data(), request.size()))
        request.clear();
    co_return request;
}

asio::awaitable<std::size_t> copy_stream::send(std::string copy)
{
    const auto self = shared_from_this();
    if (!co_await writeSize(copy.size()))
        co_return 0;
    std::size_t sent = 0;
    while (sent < copy.size()) {
        const std::size_t chunk = std::min(chunkSize, copy.size() - sent);
        char answer = 0;
        if (!co_await writeAll(copy.data() + sent, chunk) || !co_await readAll(&answer, 1)
            || answer != acknowledgement)
            break;
        sent += chunk;
    }
    co_return sent;
}

asio::awaitable<void> copy_stream::refuse()
{
    const auto self = shared_from_this();
    co_await writeSize(0);
}

void copy_stream::startStepTimer()
{
    m_timer.expires_after(stepTimeout);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
        // A handler that was queued before the timer was restarted belongs to the previous step.
        if (!error && self->m_timer.expiry() <= std::chrono::steady_clock::now())
            self->reset();
    });
}

asio::awaitable<bool> copy_stream::readAll(char* bytes, std::size_t size)
{
    startStepTimer();
    const auto [error, count] = co_await asio::async_read(m_socket, asio::buffer(bytes, size), asTuple);
    m_timer.cancel();
    co_return !error;
}

asio::awaitable<bool> copy_stream::writeAll(const char* bytes, std::size_t size)
{
    startStepTimer();
    const auto [error, count] = co_await asio::async_write(m_socket, asio::buffer(bytes, size), asTuple);
    m_timer.cancel();
    co_return !error;
}

asio::awaitable<bool> copy_stream::writeSize(std::size_t size)
{
    std::array<unsigned char, sizeFieldBytes> bytes {};
    boost::endian::store_big_u32(bytes.data(), static_cast<std::uint32_t>(size));
    co_return co_await writeAll(reinterpret_cast<const char*>(bytes.data()), bytes.size());
}

void copy_stream::reset()
{
    boost::system::error_code ignored; // the pending step ends either way
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
}

} // namespace gateway
