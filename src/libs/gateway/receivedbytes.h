#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/system/error_code.hpp>

#include <string>

namespace gateway {

/// Gives the received bytes to a parser of Beast and drops those that it has taken. Fails with
/// buffer_overflow where more than `maxHeadBytes` are left: only a head, the head of a chunk or a trailer is
/// left while it is incomplete, and this one does not end. Thread safe. Precondition: the parser is eager, so
/// that it takes all that is complete.
template <class Parser>
boost::system::error_code parseReceived(Parser& parser, std::string& received, std::size_t maxHeadBytes)
{
    namespace http = boost::beast::http;
    boost::system::error_code fault;
    std::size_t parsed = 0;
    while (parsed < received.size() && !parser.is_done()) {
        const bool hadHead = parser.is_header_done();
        const std::size_t used = parser.put(boost::asio::buffer(received) + parsed, fault);
        parsed += used;
        if (fault && fault != http::error::need_more)
            break;
        fault.clear();
        if (used == 0 && hadHead == parser.is_header_done())
            break;
    }
    received.erase(0, parsed);
    if (!fault && !parser.is_done() && received.size() > maxHeadBytes)
        fault = http::make_error_code(http::error::buffer_overflow);
    return fault;
}

} // namespace gateway
