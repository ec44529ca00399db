#include "wire/framestream.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// A connected pair of sockets on loopback.
struct socket_pair {
    asio::io_context io { 1 };
    tcp::socket client { io };
    tcp::socket server { io };

    socket_pair()
    {
        tcp::acceptor acceptor(io, { asio::ip::address_v4::loopback(), 0 });
        client.connect(acceptor.local_endpoint());
        server = acceptor.accept();
    }
};

struct handshake_result {
    bool client = false;
    bool server = false;
    bool hasServerRejected = false;
};

handshake_result shakeHands(const wire::fleet_keys& clientKeys, const wire::fleet_keys& serverKeys)
{
    socket_pair pair;
    handshake_result result;
    wire::frame_stream client(std::move(pair.client));
    wire::frame_stream server(std::move(pair.server));
    asio::co_spawn(
        pair.io, [&]() -> asio::awaitable<void> { result.client = co_await client.connect(clientKeys); },
        asio::detached);
    asio::co_spawn(
        pair.io,
        [&]() -> asio::awaitable<void> {
            result.server = co_await server.accept(serverKeys);
            result.hasServerRejected = server.hasFailedAuthentication();
            if (!result.server)
                server.close();
        },
        asio::detached);
    pair.io.run();
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(framestream)

BOOST_AUTO_TEST_CASE(frames_arrive_whole_and_in_order)
{
    socket_pair pair;
    wire::frame_stream client(std::move(pair.client));
    wire::frame_stream server(std::move(pair.server));
    std::string large(300000, 'x');
    const wire::fleet_keys keys { "key" };
    std::vector<std::string> received;
    asio::co_spawn(
        pair.io,
        [&]() -> asio::awaitable<void> {
            co_await client.connect(keys);
            co_await client.write(wire::frame_type::ForwardChunk, "one");
            co_await client.write(wire::frame_type::ForwardChunk, large);
            co_await client.write(wire::frame_type::ForwardEnd, "");
        },
        asio::detached);
    asio::co_spawn(
        pair.io,
        [&]() -> asio::awaitable<void> {
            co_await server.accept(keys);
            for (int i = 0; i < 3; ++i) {
                auto frame = co_await server.read();
                if (frame)
                    received.push_back(frame->payload);
            }
        },
        asio::detached);
    pair.io.run();
    BOOST_REQUIRE(received.size() == 3);
    BOOST_TEST(received[0] == "one");
    BOOST_TEST((received[1] == large));
    BOOST_TEST(received[2].empty());
}

BOOST_AUTO_TEST_CASE(both_keys_are_good_during_a_rotation_and_others_never)
{
    BOOST_TEST(shakeHands({ "new", "old" }, { "new", "old" }).server);
    BOOST_TEST(shakeHands({ "old" }, { "new", "old" }).client);
    const handshake_result foreign = shakeHands({ "foreign" }, { "new", "old" });
    BOOST_TEST(!foreign.client);
    BOOST_TEST(!foreign.server);
    BOOST_TEST(foreign.hasServerRejected);
}

// A caller must never get bytes that no node of the fleet wrote. Here a recorded chunk is played again on the
// same connection: its number is part of its code, so the reader ends the stream as failed, and the entry
// node answers with an error instead of a longer answer.
BOOST_AUTO_TEST_CASE(a_frame_that_is_played_again_fails)
{
    wire::frame_cipher writer("key", "c", "s", wire::frame_cipher::direction::ToServer);
    wire::frame_cipher reader("key", "c", "s", wire::frame_cipher::direction::ToServer);
    const auto mac = writer.sign(wire::frame_type::ForwardChunk, "text");
    BOOST_TEST(reader.verify(wire::frame_type::ForwardChunk, "text", mac));
    BOOST_TEST(!reader.verify(wire::frame_type::ForwardChunk, "text", mac));
}

BOOST_AUTO_TEST_CASE(a_frame_of_another_direction_or_type_fails)
{
    using wire::frame_cipher;
    frame_cipher writer("key", "c", "s", frame_cipher::direction::ToServer);
    frame_cipher wrongWay("key", "c", "s", frame_cipher::direction::ToClient);
    frame_cipher wrongType("key", "c", "s", frame_cipher::direction::ToServer);
    const auto mac = writer.sign(wire::frame_type::ForwardChunk, "text");
    BOOST_TEST(!wrongWay.verify(wire::frame_type::ForwardChunk, "text", mac));
    BOOST_TEST(!wrongType.verify(wire::frame_type::ForwardEnd, "text", mac));
}

BOOST_AUTO_TEST_SUITE_END()
