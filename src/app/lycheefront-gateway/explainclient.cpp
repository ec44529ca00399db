#include "explainclient.h"

#include "wire/connect.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <chrono>
#include <cstdlib>
#include <iostream>

namespace {

namespace http = boost::beast::http;

constexpr int failureExitCode = 2;
constexpr std::chrono::seconds timeout { 3 };

int fail(const std::string& reason)
{
    std::cerr << "explain: " << reason << '\n';
    return failureExitCode;
}

} // namespace

int explainAt(const std::string& node, const std::string& question, bool isJson)
{
    const auto endpoint = wire::parseEndpoint(node);
    if (!endpoint)
        return fail("'" + node + "' is not ip:port");
    boost::asio::io_context io;
    boost::beast::tcp_stream stream(io);
    boost::beast::flat_buffer buffer;
    http::request<http::empty_body> request { http::verb::get,
        "/explain?" + question + (isJson ? "&format=json" : ""), 11 };
    request.set(http::field::host, node);
    http::response<http::string_body> response;
    boost::system::error_code result = boost::asio::error::timed_out;
    stream.expires_after(timeout);
    stream.async_connect(*endpoint, [&](const boost::system::error_code& connectError) {
        result = connectError;
        if (connectError)
            return;
        http::async_write(stream, request, [&](const boost::system::error_code& writeError, std::size_t) {
            result = writeError;
            if (writeError)
                return;
            http::async_read(stream, buffer, response,
                [&](const boost::system::error_code& readError, std::size_t) { result = readError; });
        });
    });
    io.run();
    if (result)
        return fail("no answer from " + node + ": " + result.message());
    if (response.result() != http::status::ok)
        return fail(response.body());
    std::cout << response.body();
    return EXIT_SUCCESS;
}
