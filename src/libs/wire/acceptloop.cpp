#include "acceptloop.h"

namespace wire {

boost::asio::ip::tcp::acceptor listenOn(
    const boost::asio::any_io_executor& executor, const boost::asio::ip::tcp::endpoint& endpoint)
{
    boost::asio::ip::tcp::acceptor acceptor(executor);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(boost::asio::socket_base::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen(boost::asio::socket_base::max_listen_connections);
    return acceptor;
}

} // namespace wire
