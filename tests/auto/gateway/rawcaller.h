#pragma once

#include "gatewaytestbed.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <string>

/// A caller's connection on which the test writes each byte itself.
class raw_caller {
public:
    explicit raw_caller(const gateway_node& node)
        : m_socket(m_io)
    {
        m_socket.connect({ boost::asio::ip::make_address(node.address), node.callerPort });
    }

    void write(const std::string& bytes) { boost::asio::write(m_socket, boost::asio::buffer(bytes)); }
    std::string readToEnd()
    {
        std::string bytes;
        boost::system::error_code ended;
        boost::asio::read(m_socket, boost::asio::dynamic_buffer(bytes), ended);
        return bytes;
    }
    /// Reads `count` bytes, or fewer if the connection ends.
    std::size_t readSome(std::size_t count)
    {
        std::string bytes(count, '\0');
        boost::system::error_code ended;
        return boost::asio::read(m_socket, boost::asio::buffer(bytes), ended);
    }
    void close() { m_socket.close(); }

private:
    boost::asio::io_context m_io;
    boost::asio::ip::tcp::socket m_socket;
};
