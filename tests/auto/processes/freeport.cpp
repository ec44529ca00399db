#include "freeport.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <set>
#include <stdexcept>
#include <unistd.h>

namespace asio = boost::asio;

namespace {

constexpr int longestPolls = 600;
// Of the second and third number of an address: 1 to 250, so that 127.0.0.1 and broadcasts stay apart.
constexpr int numbersOfAByte = 250;
constexpr std::size_t firstNode = 2;

/// Whether the port of that address is free for TCP and UDP.
bool isFree(const asio::ip::address& address, unsigned short port)
{
    asio::io_context io;
    boost::system::error_code error;
    asio::ip::tcp::acceptor tcp(io);
    asio::ip::udp::socket udp(io);
    tcp.open(asio::ip::tcp::v4(), error);
    tcp.bind({ address, port }, error);
    if (error)
        return false;
    udp.open(asio::ip::udp::v4(), error);
    udp.bind({ address, port }, error);
    return !error;
}

} // namespace

std::string nodeAddress(std::size_t index)
{
    const int process = getpid();
    const int second = 1 + process / numbersOfAByte % numbersOfAByte;
    const int third = 1 + process % numbersOfAByte;
    return "127." + std::to_string(second) + "." + std::to_string(third) + "."
        + std::to_string(firstNode + index);
}

unsigned short freePort(const std::string& address)
{
    static std::set<unsigned short> handedOut; // test cases run one after another
    asio::io_context io;
    const asio::ip::address parsed = asio::ip::make_address(address);
    for (int i = 0; i < longestPolls; ++i) {
        const asio::ip::tcp::acceptor tcp(io, { parsed, 0 });
        const unsigned short port = tcp.local_endpoint().port();
        boost::system::error_code error;
        asio::ip::udp::socket udp(io);
        udp.open(asio::ip::udp::v4(), error);
        udp.bind({ parsed, port }, error);
        if (!error && handedOut.insert(port).second)
            return port;
    }
    throw std::runtime_error("no free port");
}

unsigned short freePortPair(const std::string& address)
{
    const asio::ip::address parsed = asio::ip::make_address(address);
    for (int i = 0; i < longestPolls; ++i) {
        const unsigned short first = freePort(address);
        const auto second = static_cast<unsigned short>(first + 1);
        if (second > first && isFree(parsed, second))
            return first;
    }
    throw std::runtime_error("no two free ports");
}
