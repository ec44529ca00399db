#include "gateway/requests/headcheck.h"

#include <boost/test/unit_test.hpp>

#include <string>

using gateway::checkHead;
using gateway::head_fault;

BOOST_TEST_DONT_PRINT_LOG_VALUE(gateway::head_fault)

namespace {

head_fault faultOf(const std::string& lines)
{
    return checkHead("POST /a HTTP/1.1\r\n" + lines + "\r\n");
}

} // namespace

BOOST_AUTO_TEST_SUITE(head_check)

BOOST_AUTO_TEST_CASE(ordinary_heads_pass)
{
    BOOST_TEST(faultOf("Host: a\r\nContent-Length: 3\r\n") == head_fault::None);
    BOOST_TEST(faultOf("host: a\r\nTransfer-Encoding: chunked\r\nX: 1\r\nX: 2\r\n") == head_fault::None);
}

// Two parsers disagree about the end of such a request: the second parser takes a part of the body for a
// request that no caller sent (request smuggling).
BOOST_AUTO_TEST_CASE(ambiguous_heads_are_rejected)
{
    BOOST_TEST(
        faultOf("Host: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n") == head_fault::TwoLengths);
    BOOST_TEST(faultOf("Host: a\r\nContent-Length: 3\r\ncontent-length: 3\r\n") == head_fault::DoubledHeader);
    BOOST_TEST(faultOf("Host: a\r\nHost: b\r\n") == head_fault::DoubledHeader);
    BOOST_TEST(faultOf("Host: a\r\nX: 1\r\n folded\r\n") == head_fault::FoldedLine);
    BOOST_TEST(faultOf("Host: a\r\nX: 1\nContent-Length: 3\r\n") == head_fault::BareLineEnd);
    BOOST_TEST(faultOf("Host: a\r\nX: 1\rY: 2\r\n") == head_fault::BareLineEnd);
    BOOST_TEST(faultOf(std::string("Host: a\r\nX: \0\r\n", 15)) == head_fault::BareLineEnd);
    BOOST_TEST(faultOf("Host: a\r\nContent-Length : 3\r\n") == head_fault::BadName);
    BOOST_TEST(faultOf("Host: a\r\nno colon\r\n") == head_fault::BadName);
    BOOST_TEST(faultOf("X: 1\r\n") == head_fault::NoHost);
}

BOOST_AUTO_TEST_SUITE_END()
