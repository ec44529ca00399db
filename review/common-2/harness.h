#pragma once

// What the scripts of this review share: a record, small HTTP messages over blocking sockets, stand-ins of
// the platform's store and of replicas, and gateway processes. Everything listens on loopback addresses.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace harness {

using steady = std::chrono::steady_clock;

inline const steady::time_point startedAt = steady::now();
/// Seconds since the start of the script.
inline double now()
{
    return std::chrono::duration<double>(steady::now() - startedAt).count();
}
inline void sleepFor(double seconds)
{
    if (seconds > 0)
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}
inline void sleepUntil(double at)
{
    sleepFor(at - now());
}

/// The record of a run: what was sent, answered and run, a line each.
class record {
public:
    explicit record(const std::string& path)
        : m_file(std::fopen(path.c_str(), "w"))
    {
        if (m_file == nullptr) {
            std::perror(path.c_str());
            std::exit(2);
        }
    }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        const std::lock_guard lock(m_mutex);
        std::fprintf(m_file, "%8.3f  ", now());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(m_file, format, arguments);
        va_end(arguments);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }

private:
    std::mutex m_mutex;
    std::FILE* m_file;
};

/// Where the record goes: the script names it.
inline std::string recordPath()
{
    const char* path = std::getenv("RECORD");
    return path == nullptr ? "record.txt" : path;
}

/// A descriptor of a socket that several threads may shut down; the last owner closes it.
struct socket_handle {
    explicit socket_handle(int descriptor)
        : fd(descriptor)
    {
    }
    ~socket_handle() { ::close(fd); }
    socket_handle(const socket_handle&) = delete;
    socket_handle& operator=(const socket_handle&) = delete;

    /// Resets the connection, as the end of a process with unread bytes does.
    void reset()
    {
        const linger immediately { 1, 0 };
        ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately);
        isReset = true;
        // Unblocks the thread that reads; the close that follows sends the reset.
        ::shutdown(fd, SHUT_RD);
    }
    bool sendAll(const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            if (isReset)
                return false;
            const ssize_t count = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    int fd;
    std::atomic<bool> isReset { false };
};
using socket_ptr = std::shared_ptr<socket_handle>;

inline sockaddr_in addressOf(const std::string& ip, unsigned short port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline int listenOn(const std::string& ip, unsigned short& port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    sockaddr_in address = addressOf(ip, port);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(fd, 512) != 0) {
        ::close(fd);
        return -1;
    }
    socklen_t size = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return fd;
}

inline socket_ptr connectTo(const std::string& ip, unsigned short port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = addressOf(ip, port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        ::close(fd);
        return nullptr;
    }
    const int yes = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    return std::make_shared<socket_handle>(fd);
}

/// One HTTP message, with its body.
struct message {
    std::string start; ///< the first line
    std::map<std::string, std::string> headers; ///< by name in lower case
    std::string body;
    bool isWhole = false;

    std::string header(const std::string& name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
    std::string method() const { return start.substr(0, start.find(' ')); }
    std::string target() const
    {
        const std::size_t first = start.find(' ');
        return start.substr(first + 1, start.find(' ', first + 1) - first - 1);
    }
    int status() const { return start.size() < 12 ? 0 : std::atoi(start.c_str() + 9); }
};

/// Reads messages from one connection.
class reader {
public:
    explicit reader(socket_ptr socket)
        : m_socket(std::move(socket))
    {
    }

    /// Reads one message; nothing if the connection ends, or the time passes, before its head is whole. A
    /// message whose body does not end has isWhole unset. `onBytes` is told when bytes of a body arrive.
    std::optional<message> read(double until = 1e9)
    {
        std::size_t end = std::string::npos;
        while ((end = m_bytes.find("\r\n\r\n")) == std::string::npos) {
            if (!receive(until))
                return std::nullopt;
        }
        message result;
        std::string head = m_bytes.substr(0, end);
        m_bytes.erase(0, end + 4);
        std::size_t at = head.find("\r\n");
        result.start = head.substr(0, at);
        while (at != std::string::npos) {
            const std::size_t next = head.find("\r\n", at + 2);
            const std::string line = head.substr(at + 2, next == std::string::npos ? next : next - at - 2);
            const std::size_t colon = line.find(':');
            if (colon != std::string::npos) {
                std::string name = line.substr(0, colon);
                std::ranges::transform(name, name.begin(), [](unsigned char c) { return std::tolower(c); });
                std::size_t from = colon + 1;
                while (from < line.size() && line[from] == ' ')
                    ++from;
                result.headers[name] = line.substr(from);
            }
            at = next;
        }
        if (result.header("transfer-encoding") == "chunked") {
            result.isWhole = readChunks(result, until);
        } else {
            const std::size_t length = std::strtoul(result.header("content-length").c_str(), nullptr, 10);
            while (m_bytes.size() < length && receive(until)) { }
            result.isWhole = m_bytes.size() >= length;
            result.body = m_bytes.substr(0, length);
            m_bytes.erase(0, std::min(length, m_bytes.size()));
        }
        return result;
    }
    bool hasBytes() const { return !m_bytes.empty(); }
    /// Whether the last read ended because the other side closed or reset the connection.
    bool isClosed() const { return m_isClosed; }

private:
    bool readChunks(message& result, double until)
    {
        while (true) {
            std::size_t end = std::string::npos;
            while ((end = m_bytes.find("\r\n")) == std::string::npos) {
                if (!receive(until))
                    return false;
            }
            const std::size_t size = std::strtoul(m_bytes.c_str(), nullptr, 16);
            while (m_bytes.size() < end + 2 + size + 2) {
                if (!receive(until))
                    return false;
            }
            result.body += m_bytes.substr(end + 2, size);
            m_bytes.erase(0, end + 2 + size + 2);
            if (size == 0)
                return true;
        }
    }
    bool receive(double until)
    {
        pollfd wait { m_socket->fd, POLLIN, 0 };
        while (true) {
            if (m_socket->isReset)
                return false;
            const double left = until - now();
            if (left <= 0)
                return false;
            const int ready = ::poll(&wait, 1, static_cast<int>(std::min(left * 1000 + 1, 1000.0)));
            if (ready > 0)
                break;
            if (ready < 0 && errno != EINTR)
                return false;
        }
        char bytes[16384];
        const ssize_t count = ::recv(m_socket->fd, bytes, sizeof bytes, 0);
        if (count <= 0) {
            m_isClosed = true;
            return false;
        }
        m_bytes.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    socket_ptr m_socket;
    std::string m_bytes;
    bool m_isClosed = false;
};

/// Serves each connection in a thread of its own. It lives as long as the script.
class server {
public:
    using handler = std::function<void(const socket_ptr&)>;

    server(std::string ip, handler serve)
        : m_ip(std::move(ip))
        , m_serve(std::move(serve))
    {
        open();
    }

    unsigned short port() const { return m_port; }
    std::string address() const { return m_ip + ':' + std::to_string(m_port); }
    /// Stops to listen, and resets all connections, as the crash of a process does.
    void crash()
    {
        const std::lock_guard lock(m_mutex);
        ::shutdown(m_listener, SHUT_RDWR);
        for (const auto& weak : m_connections) {
            if (const socket_ptr connection = weak.lock())
                connection->reset();
        }
        m_connections.clear();
        m_dark.reset();
        m_fillers.clear();
    }
    /// New connections are not accepted any more, and get no answer; open ones are left to their threads.
    void goDark()
    {
        // A queue of one that is full: the kernel drops what asks for a connection.
        {
            const std::lock_guard lock(m_mutex);
            ::shutdown(m_listener, SHUT_RDWR);
        }
        sleepFor(0.005);
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int yes = 1;
        ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
        const sockaddr_in address = addressOf(m_ip, m_port);
        if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0
            || ::listen(fd, 0) != 0)
            std::fprintf(stderr, "cannot go dark at port %d\n", m_port);
        for (unsigned i = 0; i < 3; ++i) {
            const int filler = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
            (void)::connect(filler, reinterpret_cast<const sockaddr*>(&address), sizeof address);
            m_fillers.push_back(std::make_shared<socket_handle>(filler));
        }
        m_dark = std::make_shared<socket_handle>(fd);
    }
    /// Listens again, at the same port.
    void open()
    {
        m_listener = listenOn(m_ip, m_port);
        if (m_listener < 0) {
            std::fprintf(stderr, "cannot listen on %s:%d\n", m_ip.c_str(), m_port);
            std::_Exit(2);
        }
        std::thread([this, listener = m_listener] { accept(listener); }).detach();
    }
    /// Connections that are open now.
    std::vector<socket_ptr> connections()
    {
        const std::lock_guard lock(m_mutex);
        std::vector<socket_ptr> open;
        for (const auto& weak : m_connections) {
            if (socket_ptr connection = weak.lock())
                open.push_back(std::move(connection));
        }
        return open;
    }

private:
    void accept(int listener)
    {
        while (true) {
            const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                break;
            const int yes = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
            const auto connection = std::make_shared<socket_handle>(fd);
            {
                const std::lock_guard lock(m_mutex);
                std::erase_if(m_connections, [](const auto& weak) { return weak.expired(); });
                m_connections.push_back(connection);
            }
            std::thread([this, connection] { m_serve(connection); }).detach();
        }
        ::close(listener);
    }

    std::string m_ip;
    handler m_serve;
    unsigned short m_port = 0;
    int m_listener = -1;
    std::mutex m_mutex;
    std::vector<std::weak_ptr<socket_handle>> m_connections;
    socket_ptr m_dark; ///< the listener that accepts nothing
    std::vector<socket_ptr> m_fillers; ///< fill its queue
};

inline std::string toBase64(const std::string& text)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        const std::size_t size = std::min<std::size_t>(3, text.size() - i);
        std::uint32_t bits = 0;
        for (std::size_t k = 0; k < 3; ++k)
            bits = bits << 8U | (k < size ? static_cast<unsigned char>(text[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            result += k <= size ? digits[bits >> (18 - 6 * k) & 63U] : '=';
    }
    return result;
}

/// The platform's store: linearizable, with range, single items, watch and transactions of one item, as the
/// gateway uses them.
class store {
public:
    explicit store(const std::string& ip)
        : m_server(ip, [this](const socket_ptr& socket) { serve(socket); })
    {
    }

    std::string address() const { return m_server.address(); }
    /// Writes an item; returns once the store has acknowledged it.
    void put(const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(m_mutex);
        putLocked(key, toBase64(value));
    }
    void remove(const std::string& key)
    {
        const std::lock_guard lock(m_mutex);
        m_items.erase(key);
        m_history.push_back({ key, ++m_revision, std::nullopt });
        m_changed.notify_all();
    }
    /// Ends the watches that wait now: their connections are closed without an answer.
    std::size_t cutWatches()
    {
        const std::lock_guard lock(m_mutex);
        const std::size_t count = m_waiting;
        ++m_cuts;
        m_changed.notify_all();
        return count;
    }
    /// The connections that are open now go silent for good: nothing is answered on them any more, and they
    /// are not closed. New ones work.
    std::size_t silenceConnections()
    {
        const auto open = m_server.connections();
        const std::lock_guard lock(m_mutex);
        for (const socket_ptr& connection : open)
            m_silent.insert(connection.get());
        m_kept.insert(m_kept.end(), open.begin(), open.end());
        m_changed.notify_all();
        return open.size();
    }

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t createdAt = 0;
    };
    struct change {
        std::string key;
        std::uint64_t revision = 0;
        std::optional<std::string> value;
    };

    void putLocked(const std::string& key, const std::string& value)
    {
        item& written = m_items[key];
        written.value = value;
        written.revision = ++m_revision;
        if (written.createdAt == 0)
            written.createdAt = m_revision;
        m_history.push_back({ key, m_revision, value });
        m_changed.notify_all();
    }
    bool isSilent(const socket_ptr& socket)
    {
        const std::lock_guard lock(m_mutex);
        return m_silent.contains(socket.get());
    }
    static std::string unescaped(const std::string& text)
    {
        std::string result;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                result += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
                i += 2;
            } else {
                result += text[i];
            }
        }
        return result;
    }
    static std::string parameter(const std::string& target, const std::string& name)
    {
        std::size_t at = target.find('?');
        while (at != std::string::npos) {
            const std::size_t end = target.find('&', at + 1);
            const std::string part = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
            if (part.starts_with(name + '='))
                return unescaped(part.substr(name.size() + 1));
            at = end;
        }
        return {};
    }
    /// The text of a field of a flat JSON object as the gateway writes it.
    static std::string field(const std::string& json, const std::string& name, std::size_t from = 0)
    {
        std::size_t at = json.find('"' + name + "\":", from);
        if (at == std::string::npos)
            return {};
        at += name.size() + 3;
        if (json[at] == '"')
            return json.substr(at + 1, json.find('"', at + 1) - at - 1);
        return json.substr(at, json.find_first_of(",}]", at) - at);
    }
    static std::string itemJson(const std::string& key, const item& one)
    {
        return "{\"key\":\"" + key + "\",\"value\":\"" + one.value
            + "\",\"revision\":" + std::to_string(one.revision)
            + ",\"createRev\":" + std::to_string(one.createdAt) + ",\"lease\":0}";
    }
    void serve(const socket_ptr& socket)
    {
        reader requests(socket);
        while (const auto request = requests.read()) {
            if (isSilent(socket))
                continue;
            int status = 200;
            const std::string body = answer(*request, status, socket);
            if (status == 0)
                return;
            if (isSilent(socket))
                continue;
            const std::string bytes = "HTTP/1.1 " + std::to_string(status)
                + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
                + "\r\n\r\n" + body;
            if (!socket->sendAll(bytes))
                return;
        }
    }
    /// Status 0: the connection is closed without an answer.
    std::string answer(const message& request, int& status, const socket_ptr& socket)
    {
        const std::string target = request.target();
        sleepFor(0.004);
        if (target.starts_with("/-/kv-watch"))
            return watch(target, status, socket);
        const std::lock_guard lock(m_mutex);
        if (target.starts_with("/-/kv-key")) {
            const std::string key = parameter(target, "key");
            const auto found = m_items.find(key);
            if (found != m_items.end())
                return itemJson(key, found->second);
            status = 404;
            return "{}";
        }
        if (target.starts_with("/-/kv-range")) {
            const std::string prefix = parameter(target, "pathPrefix");
            const std::string after = parameter(target, "after");
            std::string items;
            for (const auto& [key, one] : m_items) {
                if (key.starts_with(prefix) && key > after)
                    items += (items.empty() ? "" : ",") + itemJson(key, one);
            }
            return "{\"items\":[" + items + "],\"hasMore\":false,\"asOf\":" + std::to_string(m_revision)
                + "}";
        }
        if (target.starts_with("/-/kv-txn")) {
            const std::size_t puts = request.body.find("\"puts\"");
            const std::string key = field(request.body, "key");
            const std::uint64_t expected
                = std::strtoull(field(request.body, "revision").c_str(), nullptr, 10);
            const auto found = m_items.find(key);
            const std::uint64_t revision = found == m_items.end() ? 0 : found->second.revision;
            if (key.starts_with("op/") || key.starts_with("servers/")) {
                status = 403;
                return "{}";
            }
            if (revision != expected) {
                status = 412;
                return "{\"items\":[" + (revision == 0 ? std::string() : itemJson(key, found->second)) + "]}";
            }
            putLocked(key, field(request.body, "value", puts));
            return "{\"revision\":" + std::to_string(m_revision) + "}";
        }
        status = 404;
        return "{}";
    }
    std::string watch(const std::string& target, int& status, const socket_ptr& socket)
    {
        const std::string prefix = parameter(target, "pathPrefix");
        const std::uint64_t after = std::strtoull(parameter(target, "after").c_str(), nullptr, 10);
        const auto until = steady::now()
            + std::chrono::milliseconds(std::strtoul(parameter(target, "waitMs").c_str(), nullptr, 10));
        std::unique_lock lock(m_mutex);
        const std::uint64_t cuts = m_cuts;
        ++m_waiting;
        std::string events;
        while (true) {
            for (const change& one : m_history) {
                if (one.revision <= after || !one.key.starts_with(prefix))
                    continue;
                events += events.empty() ? "" : ",";
                if (one.value)
                    events += itemJson(one.key, { *one.value, one.revision, one.revision });
                else
                    events += "{\"key\":\"" + one.key + "\",\"revision\":" + std::to_string(one.revision)
                        + ",\"removed\":true}";
            }
            if (!events.empty() || m_silent.contains(socket.get()))
                break;
            if (m_cuts != cuts) {
                status = 0;
                break;
            }
            if (m_changed.wait_until(lock, until) == std::cv_status::timeout)
                break;
        }
        --m_waiting;
        return "{\"events\":[" + events + "],\"asOf\":" + std::to_string(m_revision) + "}";
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::deque<change> m_history;
    std::uint64_t m_revision = 1;
    std::uint64_t m_cuts = 0;
    std::size_t m_waiting = 0;
    std::set<const socket_handle*> m_silent;
    std::vector<socket_ptr> m_kept; ///< silent ones, so that they stay open
    server m_server;
};

/// The addresses of a run: a loopback network of its own, so that runs do not meet.
class network {
public:
    network()
        : m_prefix("127." + std::to_string(20 + ::getpid() / 250 % 200) + '.'
            + std::to_string(1 + ::getpid() % 250) + '.')
    {
    }
    std::string host(unsigned number) const { return m_prefix + std::to_string(number); }
    /// A port that is free at all hosts up to that number.
    unsigned short freePort(unsigned hosts)
    {
        for (unsigned attempt = 0; attempt < 1000; ++attempt) {
            const unsigned short port = m_next++;
            bool isFree = true;
            for (unsigned i = 1; i <= hosts && isFree; ++i) {
                unsigned short wanted = port;
                const int fd = listenOn(host(i), wanted);
                isFree = fd >= 0;
                if (isFree)
                    ::close(fd);
            }
            if (isFree)
                return port;
        }
        std::_Exit(2);
    }

private:
    std::string m_prefix;
    unsigned short m_next = static_cast<unsigned short>(18000 + ::getpid() % 5000);
};

/// The gateway processes of a small deployment, started by the command of the deploy file.
class fleet {
public:
    fleet(network& net, const std::string& storeAddress, unsigned nodes)
        : m_folder(std::filesystem::temp_directory_path() / ("review-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(m_folder);
        m_front = net.freePort(nodes);
        const unsigned short readiness = net.freePort(nodes);
        const unsigned short control = net.freePort(nodes);
        const unsigned short internal = net.freePort(nodes);
        (void)net.freePort(nodes); // the second one of the range, for requests between nodes
        std::string seeds;
        for (unsigned i = 1; i <= std::min(nodes, 3U); ++i)
            seeds += (seeds.empty() ? "" : ",") + ('"' + net.host(i) + ':' + std::to_string(control) + '"');
        for (unsigned i = 1; i <= nodes; ++i) {
            const std::string zone(1, static_cast<char>('a' + (i - 1) % 3));
            m_hosts.push_back(net.host(i));
            m_settings.push_back(m_folder / ("node-" + std::to_string(i) + ".toml"));
            std::ofstream file(m_settings.back());
            file
                << "node = \"front-" << zone << '-' << i
                << "\"\nrole = \"gateway\"\nmachineClass = \"front\"\n"
                << "serves = [\"front\",\"control\"]\nip = \"" << net.host(i) << "\"\nzone = \"zone-" << zone
                << "\"\nregion = \"home\"\ninternalPorts = [" << internal << ',' << internal + 1
                << "]\nseeds = [" << seeds
                << "]\nbootstrap = true\ndiscovery = \"platform\"\nentry = \"vip\"\n"
                << "heartbeatMs = 1200\n[zones]\nzone-a = \"home\"\nzone-b = \"home\"\nzone-c = \"home\"\n"
                << "[listen]\nfront = \"" << net.host(i) << ':' << m_front << "\"\nreadiness = \""
                << net.host(i) << ':' << readiness << "\"\ncontrol = \"" << net.host(i) << ':' << control
                << "\"\n[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\n"
                << "linkMbps = 1000.0\ndiskMb = 0\n[bounds]\nseedLagS = 3\naddrReuseS = 2\ncontactMs = 3000\n"
                << "ackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = 8\nlossSlackMs = 200\n"
                << "configApplyMs = 2000\nrollbackSlackMs = 250\nmaxStretchMs = 5000\nstrictRevoke = false\n"
                << "revokeMs = 5000\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\nbudgetExtra = 54\n"
                << "recoverS = 12\npassMs = 120\nagainS = 10\ncapX = 2\n[provider]\naddress = \""
                << storeAddress << "\"\nform = \"kv\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\n"
                << "valueBytes = 1048576\nttlMinMs = 1000\n";
        }
        m_readiness = readiness;
        m_processes.assign(nodes, -1);
        for (std::size_t i = 0; i < nodes; ++i)
            start(i);
    }
    ~fleet()
    {
        for (std::size_t i = 0; i < m_processes.size(); ++i)
            kill(i);
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }

    void start(std::size_t node)
    {
        const std::string log = m_folder / ("node-" + std::to_string(node + 1) + ".log");
        const std::string settings = "LYCHEEFRONT_NODE_FILE=" + m_settings[node].string();
        const pid_t child = ::fork();
        if (child == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // no node outlives the script
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            std::string path = "PATH=/usr/bin:/bin";
            std::string variable = settings;
            char* environment[] = { path.data(), variable.data(), nullptr };
            char program[] = "target/bin/lycheefront-gateway";
            char metrics[] = "--metrics_port=9464";
            char* words[] = { program, metrics, nullptr };
            ::execve(program, words, environment);
            std::_Exit(127);
        }
        m_processes[node] = child;
    }
    void signal(std::size_t node, int number) { ::kill(m_processes[node], number); }
    void kill(std::size_t node)
    {
        if (m_processes[node] <= 0)
            return;
        ::kill(m_processes[node], SIGKILL);
        ::kill(m_processes[node], SIGCONT);
        ::waitpid(m_processes[node], nullptr, 0);
        m_processes[node] = -1;
    }
    /// Whether the process still runs.
    bool isAlive(std::size_t node)
    {
        return m_processes[node] > 0 && ::waitpid(m_processes[node], nullptr, WNOHANG) == 0;
    }
    bool isReady(std::size_t node) const
    {
        const socket_ptr socket = connectTo(m_hosts[node], m_readiness);
        if (!socket || !socket->sendAll("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"))
            return false;
        const auto answer = reader(socket).read(now() + 1);
        return answer && answer->status() == 200;
    }
    /// Waits until all nodes are ready; ends the script with 2 if they are not in time.
    void awaitReady(double until)
    {
        for (std::size_t i = 0; i < size(); ++i) {
            while (!isReady(i)) {
                if (now() > until || !isAlive(i)) {
                    std::fprintf(stderr, "node %zu is not ready\n", i + 1);
                    for (std::size_t k = 0; k < size(); ++k)
                        kill(k);
                    std::_Exit(2);
                }
                sleepFor(0.05);
            }
        }
    }
    std::size_t size() const { return m_hosts.size(); }
    const std::string& host(std::size_t node) const { return m_hosts[node]; }
    unsigned short port() const { return m_front; }
    std::string folder() const { return m_folder.string(); }

private:
    std::filesystem::path m_folder;
    std::vector<std::string> m_hosts;
    std::vector<std::filesystem::path> m_settings;
    std::vector<pid_t> m_processes;
    unsigned short m_front = 0;
    unsigned short m_readiness = 0;
};

/// Whether the run has its disruption: TROUBLE=0 leaves it out.
inline bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

inline double setting(const char* name, double fallback)
{
    const char* value = std::getenv(name);
    return value == nullptr ? fallback : std::atof(value);
}

inline std::string newId()
{
    static std::atomic<std::uint64_t> next { static_cast<std::uint64_t>(::getpid()) << 32U };
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(next++));
    return text;
}

} // namespace harness
