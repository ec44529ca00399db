#include "responsehead.h"

#include <boost/beast/http/error.hpp>

namespace utils {

namespace {

namespace http = boost::beast::http;

constexpr unsigned minStatus = 100;
constexpr unsigned maxStatus = 599;

} // namespace

boost::system::error_code checkResponseHead(const http::response_header<>& head)
{
    if (head.result_int() < minStatus || head.result_int() > maxStatus)
        return http::make_error_code(http::error::bad_status);
    return {};
}

} // namespace utils
