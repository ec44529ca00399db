#include "sockets.h"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <cstdlib>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

constexpr std::size_t readSize = 65536;
constexpr int backlog = 512;

std::atomic<std::uint64_t> lastNumber = 0; // of a connection

sockaddr_in addressOf(const std::string& ip, std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

int openAndBind(const std::string& ip, std::uint16_t port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = addressOf(ip, port);
    if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
        return descriptor;
    ::close(descriptor);
    return -1;
}

std::string lowerCase(std::string text)
{
    std::ranges::transform(text, text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

} // namespace

stream_socket::stream_socket(int descriptor)
    : m_descriptor(descriptor)
    , m_number(++lastNumber)
{
    const int on = 1;
    ::setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

stream_socket::~stream_socket()
{
    close();
}

stream_socket::stream_socket(stream_socket&& other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
    , m_number(other.m_number)
    , m_received(std::move(other.m_received))
{
}

stream_socket& stream_socket::operator=(stream_socket&& other) noexcept
{
    close();
    m_descriptor = std::exchange(other.m_descriptor, -1);
    m_number = other.m_number;
    m_received = std::move(other.m_received);
    return *this;
}

stream_socket stream_socket::connectTo(const std::string& ip, std::uint16_t port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = addressOf(ip, port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
        return stream_socket(descriptor);
    ::close(descriptor);
    return {};
}

bool stream_socket::send(const std::string& bytes) const
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool stream_socket::receive(steady_clock::time_point until)
{
    const auto left = std::chrono::duration_cast<milliseconds>(until - steady_clock::now()).count();
    pollfd waiting { m_descriptor, POLLIN, 0 };
    if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0)
        return false;
    char bytes[readSize];
    const ssize_t count = ::recv(m_descriptor, bytes, sizeof bytes, 0);
    if (count <= 0)
        return false;
    m_received.append(bytes, static_cast<std::size_t>(count));
    return true;
}

std::optional<std::string> stream_socket::readLine(milliseconds timeout)
{
    const auto until = steady_clock::now() + timeout;
    std::size_t end = m_received.find("\r\n");
    while (end == std::string::npos) {
        if (!receive(until))
            return std::nullopt;
        end = m_received.find("\r\n");
    }
    std::string line = m_received.substr(0, end);
    m_received.erase(0, end + 2);
    return line;
}

std::optional<std::string> stream_socket::readBytes(std::size_t count, milliseconds timeout)
{
    const auto until = steady_clock::now() + timeout;
    while (m_received.size() < count) {
        if (!receive(until))
            return std::nullopt;
    }
    std::string bytes = m_received.substr(0, count);
    m_received.erase(0, count);
    return bytes;
}

void stream_socket::reset()
{
    const linger immediately { 1, 0 };
    if (isOpen())
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately);
    close();
}

void stream_socket::close()
{
    if (isOpen())
        ::close(std::exchange(m_descriptor, -1));
}

std::string http_message::header(const std::string& name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

int http_message::status() const
{
    const std::size_t space = startLine.find(' ');
    return space == std::string::npos ? 0 : std::atoi(startLine.c_str() + space + 1);
}

std::optional<http_message> readMessage(stream_socket& socket, milliseconds timeout, bool hasBody)
{
    http_message message;
    const auto start = socket.readLine(timeout);
    if (!start)
        return std::nullopt;
    message.startLine = *start;
    while (true) {
        const auto line = socket.readLine(timeout);
        if (!line)
            return std::nullopt;
        if (line->empty())
            break;
        const std::size_t colon = line->find(':');
        if (colon == std::string::npos)
            return std::nullopt;
        const std::size_t value = line->find_first_not_of(' ', colon + 1);
        message.headers[lowerCase(line->substr(0, colon))]
            = value == std::string::npos ? std::string() : line->substr(value);
    }
    if (!hasBody)
        return message;
    if (message.header("transfer-encoding") == "chunked") {
        while (true) {
            const auto line = socket.readLine(timeout);
            if (!line)
                return std::nullopt;
            const std::size_t size = std::strtoul(line->c_str(), nullptr, 16);
            const auto chunk = socket.readBytes(size, timeout);
            if (!chunk || !socket.readLine(timeout))
                return std::nullopt;
            if (size == 0)
                return message;
            message.body += *chunk;
        }
    }
    const std::size_t size = std::strtoul(message.header("content-length").c_str(), nullptr, 10);
    const auto body = socket.readBytes(size, timeout);
    if (!body)
        return std::nullopt;
    message.body = *body;
    return message;
}

listener::listener(const std::string& ip, std::uint16_t port)
    : m_descriptor(openAndBind(ip, port))
{
    sockaddr_in address {};
    socklen_t length = sizeof address;
    if (m_descriptor < 0 || ::listen(m_descriptor, backlog) != 0
        || ::getsockname(m_descriptor, reinterpret_cast<sockaddr*>(&address), &length) != 0)
        throw std::runtime_error("cannot listen on " + ip);
    m_port = ntohs(address.sin_port);
}

void listener::start(session run)
{
    std::thread([descriptor = m_descriptor, run = std::move(run)] {
        while (true) {
            const int accepted = ::accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                continue;
            std::thread([accepted, run] {
                stream_socket socket(accepted);
                run(socket);
            }).detach();
        }
    }).detach();
}

std::uint16_t freePorts(const std::string& ip, std::uint16_t count)
{
    std::random_device random;
    constexpr unsigned lowest = 20000;
    constexpr unsigned span = 10000; // below the ports that outgoing connections get
    for (unsigned attempt = 0; attempt < 100; ++attempt) {
        const auto first = static_cast<std::uint16_t>(lowest + random() % span);
        bool areFree = true;
        for (std::uint16_t i = 0; i < count && areFree; ++i) {
            const int descriptor = openAndBind(ip, static_cast<std::uint16_t>(first + i));
            areFree = descriptor >= 0;
            if (areFree)
                ::close(descriptor);
        }
        if (areFree)
            return first;
    }
    throw std::runtime_error("no free ports on " + ip);
}

std::string loopbackAddress()
{
    std::random_device random;
    const auto part = [&] { return std::to_string(1 + random() % 250); };
    return "127." + part() + '.' + part() + '.' + part();
}

} // namespace review
