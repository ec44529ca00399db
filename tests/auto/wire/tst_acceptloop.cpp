#include "wire/acceptloop.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <list>

using boost::asio::ip::tcp;

BOOST_AUTO_TEST_SUITE(accept_loops)

// Guards against requests that are answered seconds late while the node's own log shows some ms. It happens
// when most of the fleet is leaving: one node gets hundreds of new connections per second, while hundreds of
// open ones have work in each iteration of the event loop. With few accepts per iteration the new connections
// wait in the listen queue, where no request timeout runs.
BOOST_AUTO_TEST_CASE(the_listen_queue_is_emptied_in_each_iteration)
{
    constexpr unsigned callers = 200;
    constexpr unsigned busy = 100;
    boost::asio::io_context io { 1 };
    tcp::acceptor acceptor
        = wire::listenOn(io.get_executor(), { boost::asio::ip::address_v4::loopback(), 0 });
    std::list<tcp::socket> waiting;
    for (unsigned i = 0; i < callers; ++i)
        waiting.emplace_back(io).connect(acceptor.local_endpoint());
    unsigned accepted = 0;
    const auto session = [&accepted](tcp::socket) -> boost::asio::awaitable<void> {
        ++accepted;
        co_return;
    };
    boost::asio::co_spawn(io, wire::acceptLoop(acceptor, session), boost::asio::detached);
    unsigned work = 0;
    const std::function<void()> doWork = [&] {
        ++work;
        boost::asio::post(io, doWork);
    };
    for (unsigned i = 0; i < busy; ++i)
        boost::asio::post(io, doWork);
    while (accepted < callers)
        io.run_one();
    const unsigned iterations = work / busy;
    BOOST_TEST_MESSAGE(callers << " connections were accepted within " << iterations << " iterations");
    BOOST_TEST(iterations <= 3);
}

BOOST_AUTO_TEST_SUITE_END()
