#include "framestream.h"

#include "socketpeek.h"

#include "utils/crypto.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>

namespace wire {

namespace {

namespace asio = boost::asio;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

constexpr std::size_t nonceSize = 16;
constexpr std::size_t proofSize = 32;
constexpr std::size_t headerSize = 5; // four bytes of length, one of type
constexpr std::size_t minReadSize = 4096;

std::string proof(std::string_view key, std::string_view label, std::string_view nonces)
{
    std::string text(label);
    text.append(nonces);
    const utils::sha256_digest digest = utils::hmacSha256(key, text);
    return { reinterpret_cast<const char*>(digest.data()), digest.size() };
}

void appendLength(std::string& out, std::size_t length)
{
    for (std::size_t shift = 0; shift < 32; shift += 8)
        out.push_back(static_cast<char>((length >> shift) & 0xffU));
}

std::size_t readLength(std::string_view bytes)
{
    std::size_t length = 0;
    for (std::size_t i = 0; i < 4; ++i)
        length |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
    return length;
}

} // namespace

frame_stream::frame_stream(asio::ip::tcp::socket socket)
    : m_socket(std::move(socket))
{
    boost::system::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

asio::awaitable<bool> frame_stream::connect(const fleet_keys& keys)
{
    const std::string clientNonce = utils::randomBytes(nonceSize);
    const std::string_view key = keys.front();
    if (!co_await writeRaw(clientNonce + proof(key, "client", clientNonce)))
        co_return false;
    const auto answer = co_await readRaw(nonceSize + proofSize);
    if (!answer)
        co_return false;
    const std::string serverNonce = answer->substr(0, nonceSize);
    const std::string expected = proof(key, "server", clientNonce + serverNonce);
    if (!utils::equalConstantTime(answer->substr(nonceSize), expected)) {
        m_hasFailedAuthentication = true;
        co_return false;
    }
    m_writer.emplace(key, clientNonce, serverNonce, frame_cipher::direction::ToServer);
    m_reader.emplace(key, clientNonce, serverNonce, frame_cipher::direction::ToClient);
    co_return true;
}

asio::awaitable<bool> frame_stream::accept(const fleet_keys& keys)
{
    const auto clientHello = co_await readRaw(nonceSize + proofSize);
    if (!clientHello)
        co_return false;
    const std::string clientNonce = clientHello->substr(0, nonceSize);
    const std::string clientProof = clientHello->substr(nonceSize);
    const auto key = std::ranges::find_if(keys, [&](const std::string& candidate) {
        return utils::equalConstantTime(proof(candidate, "client", clientNonce), clientProof);
    });
    if (key == keys.end()) {
        m_hasFailedAuthentication = true;
        co_return false;
    }
    const std::string serverNonce = utils::randomBytes(nonceSize);
    m_reader.emplace(*key, clientNonce, serverNonce, frame_cipher::direction::ToServer);
    m_writer.emplace(*key, clientNonce, serverNonce, frame_cipher::direction::ToClient);
    co_return co_await writeRaw(serverNonce + proof(*key, "server", clientNonce + serverNonce));
}

asio::awaitable<std::optional<frame>> frame_stream::read()
{
    const auto header = co_await readRaw(headerSize);
    if (!header)
        co_return std::nullopt;
    const std::size_t length = readLength(*header);
    if (length > maxFramePayload) {
        m_hasFailedAuthentication = true;
        co_return std::nullopt;
    }
    auto body = co_await readRaw(length + frameMacSize);
    if (!body)
        co_return std::nullopt;
    frame_mac mac {};
    std::copy_n(body->end() - frameMacSize, frameMacSize, mac.begin());
    body->resize(length);
    const auto type = static_cast<frame_type>(header->back());
    if (!m_reader->verify(type, *body, mac)) {
        m_hasFailedAuthentication = true;
        co_return std::nullopt;
    }
    co_return frame { type, std::move(*body) };
}

asio::awaitable<bool> frame_stream::write(frame_type type, std::string_view payload)
{
    std::string bytes;
    bytes.reserve(headerSize + payload.size() + frameMacSize);
    appendLength(bytes, payload.size());
    bytes.push_back(static_cast<char>(type));
    bytes.append(payload);
    const frame_mac mac = m_writer->sign(type, payload);
    bytes.append(reinterpret_cast<const char*>(mac.data()), mac.size());
    co_return co_await writeRaw(std::move(bytes));
}

asio::awaitable<void> frame_stream::untilClosed()
{
    co_await wire::untilClosed(m_socket, false);
}

void frame_stream::close()
{
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

asio::awaitable<std::optional<std::string>> frame_stream::readRaw(std::size_t size)
{
    while (m_readBuffer.size() < size) {
        const std::size_t oldSize = m_readBuffer.size();
        const std::size_t want = std::max(size - oldSize, minReadSize);
        m_readBuffer.resize(oldSize + want);
        const auto [error, count]
            = co_await m_socket.async_read_some(asio::buffer(m_readBuffer.data() + oldSize, want), asTuple);
        m_readBuffer.resize(oldSize + count);
        if (error)
            co_return std::nullopt;
    }
    std::string bytes = m_readBuffer.substr(0, size);
    m_readBuffer.erase(0, size);
    co_return bytes;
}

asio::awaitable<bool> frame_stream::writeRaw(std::string bytes)
{
    const auto [error, count] = co_await asio::async_write(m_socket, asio::buffer(bytes), asTuple);
    co_return !error;
}

} // namespace wire
