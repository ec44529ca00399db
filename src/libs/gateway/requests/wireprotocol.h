#pragma once

#include "messages.h"

#include <boost/beast/http/message.hpp>

#include <concepts>
#include <string>
#include <string_view>

namespace gateway {

/// Encoding of requests and answers on the wire: the header names and formats of one platform.
template <class Wire>
concept wire_protocol = requires(const boost::beast::http::request_header<>& requestHead,
    const boost::beast::http::response_header<>& answerHead, const client_request& request,
    const server_request& call)
{
    {
        Wire::decodeRequest(requestHead)
        } -> std::same_as<client_request>;
    {
        Wire::encodeRequest(request, call)
        } -> std::same_as<std::string>;
    {
        Wire::encodeForward(request, call, header_line())
        } -> std::same_as<std::string>;
    {
        Wire::decodeResponse(answerHead)
        } -> std::same_as<server_response>;
    {
        Wire::requestIdHeader()
        } -> std::convertible_to<std::string_view>;
};

} // namespace gateway
