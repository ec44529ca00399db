#include "responsehead.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

#include <iterator>

namespace utils {

namespace {

namespace http = boost::beast::http;

constexpr unsigned minStatus = 100;
constexpr unsigned maxStatus = 599;

bool hasUnknownCoding(const http::response_header<>& head)
{
    const auto [first, last] = head.equal_range(http::field::transfer_encoding);
    if (first == last)
        return false;
    return std::next(first) != last || !boost::beast::iequals(first->value(), "chunked");
}

} // namespace

boost::system::error_code checkResponseHead(const http::response_header<>& head)
{
    if (head.result_int() < minStatus || head.result_int() > maxStatus)
        return http::make_error_code(http::error::bad_status);
    if (hasUnknownCoding(head))
        return http::make_error_code(http::error::bad_transfer_encoding);
    return {};
}

} // namespace utils
