#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/system/error_code.hpp>

namespace utils {

/// Checks what Beast's parser lets pass in the head of a response. Fails with bad_status where the status is
/// none that HTTP defines (100 to 599), and with bad_transfer_encoding where the body has another transfer
/// coding than chunked: it would be forwarded with that coding, or with the heads of its chunks. Thread safe.
boost::system::error_code checkResponseHead(const boost::beast::http::response_header<>& head);

/// Whether a final response to the same request follows. Thread safe.
inline bool isInterim(const boost::beast::http::response_header<>& head)
{
    return boost::beast::http::to_status_class(head.result_int())
        == boost::beast::http::status_class::informational;
}

} // namespace utils
