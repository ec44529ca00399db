#include "keyvalue/kvclient.h"
#include "keyvalue/kvjson.h"
#include "keyvalue/kvwatch.h"
#include "kvstandin/kvserver.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <string>
#include <utility>
#include <vector>

using namespace keyvalue;
namespace asio = boost::asio;

namespace {

constexpr auto callTimeout = std::chrono::milliseconds(300);

/// A stand-in service on ports picked by the system, and a client on the same io_context.
struct fixture {
    asio::io_context context { 1 };
    kvstandin::kv_server server { context.get_executor(), 0, 0 };
    kv_client client { context.get_executor(), { endpointOf(server.port()) }, callTimeout };

    static asio::ip::tcp::endpoint endpointOf(std::uint16_t port)
    {
        return { asio::ip::address_v4::loopback(), port };
    }

    /// Runs the coroutine until it completes and rethrows its exception.
    void run(const std::function<asio::awaitable<void>()>& body)
    {
        std::exception_ptr failure;
        asio::co_spawn(context, body, [&](const std::exception_ptr& e) {
            failure = e;
            context.stop();
        });
        context.run();
        context.restart();
        if (failure)
            std::rethrow_exception(failure);
    }

    asio::awaitable<void> wait(std::chrono::milliseconds time)
    {
        asio::steady_timer timer(context, time);
        co_await timer.async_wait(asio::use_awaitable);
    }
};

kv_transaction putIfAbsent(const std::string& key, const std::string& value)
{
    return { { { key, 0 } }, { kv_put { key, value, 0 } }, { kv_get { key, {}, 0 } } };
}

kv_transaction put(const std::string& key, const std::string& value, std::int64_t lease = 0)
{
    return { {}, { kv_put { key, value, lease } }, {} };
}

kv_transaction erase(const std::string& key)
{
    return { {}, { kv_delete { key } }, {} };
}

kv_get keyOf(const std::string& key)
{
    return { key, {}, 0 };
}

kv_watch_options watchOf(const std::string& key, std::int64_t fromRevision)
{
    return { key, prefixEnd(key), fromRevision, callTimeout, callTimeout };
}

/// A service that answers each request with bytes as they are: on its first connection with those given, on
/// later ones with an empty reply of revision 7.
class raw_service {
public:
    raw_service(asio::io_context& context, std::string bytes)
        : m_acceptor(context, { asio::ip::address_v4::loopback(), 0 })
        , m_bytes(std::move(bytes))
    {
        asio::co_spawn(context, acceptAll(), asio::detached);
    }

    asio::ip::tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }

    static std::string reply(const std::string& statusLine, unsigned revision)
    {
        const std::string body = R"({"header":{"revision":")" + std::to_string(revision) + R"("},"kvs":[]})";
        return statusLine + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

private:
    asio::awaitable<void> acceptAll()
    {
        while (true) {
            asio::ip::tcp::socket socket = co_await m_acceptor.async_accept(asio::use_awaitable);
            asio::co_spawn(m_acceptor.get_executor(),
                serve(std::move(socket), m_isFirst ? m_bytes : reply("HTTP/1.1 200 OK", 7)), asio::detached);
            m_isFirst = false;
        }
    }
    static asio::awaitable<void> serve(asio::ip::tcp::socket socket, std::string bytes)
    {
        namespace http = boost::beast::http;
        boost::beast::flat_buffer buffer;
        while (true) {
            http::request<http::string_body> request;
            const auto [error, count]
                = co_await http::async_read(socket, buffer, request, asio::as_tuple(asio::use_awaitable));
            if (error)
                co_return;
            co_await asio::async_write(socket, asio::buffer(bytes), asio::as_tuple(asio::use_awaitable));
        }
    }

    asio::ip::tcp::acceptor m_acceptor;
    std::string m_bytes;
    bool m_isFirst = true;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(kv_client_calls, fixture)

// Guards against a write that is said not to have run, or to have succeeded, after an answer that says
// neither: its status is none that the service gives.
BOOST_AUTO_TEST_CASE(answer_that_is_none_leaves_the_outcome_of_a_write_unknown)
{
    const std::vector<std::pair<std::string, kv_status>> outcomes { { "000", kv_status::Unknown },
        { "042", kv_status::Unknown }, { "099", kv_status::Unknown }, { "100", kv_status::Unknown },
        { "101", kv_status::Unknown }, { "199", kv_status::Unknown }, { "204", kv_status::Unknown },
        { "302", kv_status::Unknown }, { "408", kv_status::Unknown }, { "500", kv_status::Unknown },
        { "600", kv_status::Unknown }, { "999", kv_status::Unknown }, { "400", kv_status::NotSent },
        { "404", kv_status::NotSent }, { "429", kv_status::NotSent } };
    for (const auto& [status, expected] : outcomes) {
        raw_service service(context, raw_service::reply("HTTP/1.1 " + status + " X", 5));
        kv_client caller(context.get_executor(), { service.endpoint() }, callTimeout);
        kv_reply reply;
        run([&]() -> asio::awaitable<void> { reply = co_await caller.transact(put("k", "v")); });
        BOOST_TEST((reply.status == expected), status);
    }
}

// Guards against an answer that is taken for that of the next call.
BOOST_AUTO_TEST_CASE(bytes_behind_an_answer_belong_to_no_call)
{
    const std::string extra = raw_service::reply("HTTP/1.1 200 OK", 6);
    for (const std::string& first : { raw_service::reply("HTTP/1.1 200 OK", 5),
             std::string("HTTP/1.1 100 Continue\r\n\r\n"), std::string("HTTP/1.1 204 No Content\r\n\r\n") }) {
        raw_service service(context, first + extra);
        kv_client caller(context.get_executor(), { service.endpoint() }, callTimeout);
        run([&]() -> asio::awaitable<void> {
            co_await caller.get(keyOf("k"));
            const kv_reply second = co_await caller.get(keyOf("k"));
            BOOST_TEST((second.status == kv_status::Done));
            BOOST_TEST(second.revision == 7, first.substr(0, 12));
        });
    }
}

BOOST_AUTO_TEST_CASE(compare_and_swap_lets_one_of_two_win)
{
    run([&]() -> asio::awaitable<void> {
        const kv_reply first = co_await client.transact(putIfAbsent("k", "one"));
        const kv_reply second = co_await client.transact(putIfAbsent("k", "two"));
        BOOST_TEST((first.status == kv_status::Done && first.succeeded));
        BOOST_TEST((second.status == kv_status::Done && !second.succeeded));
        BOOST_TEST_REQUIRE(second.entries.size() == 1u);
        BOOST_TEST(second.entries[0].value == "one");
    });
}

BOOST_AUTO_TEST_CASE(range_reads_every_key_of_a_prefix)
{
    run([&]() -> asio::awaitable<void> {
        for (const char* key : { "/p/a", "/p/b", "/q/c" })
            co_await client.transact(put(key, "v"));
        const kv_get all { "/p/", prefixEnd("/p/"), 0 };
        const kv_reply found = co_await client.get(all);
        BOOST_TEST(found.entries.size() == 2u);
        const kv_reply none = co_await client.get(keyOf("/none"));
        BOOST_TEST((none.status == kv_status::Done && none.entries.empty()));
    });
}

BOOST_AUTO_TEST_CASE(refused_connection_is_not_sent)
{
    // The service is down and refuses connections. The status must say that nothing was written, so that the
    // caller can report "not run" and the same write can be retried on another endpoint.
    run([&]() -> asio::awaitable<void> {
        server.goDown();
        const kv_reply reply = co_await client.transact(put("k", "v"));
        BOOST_TEST((reply.status == kv_status::NotSent));
        server.comeUp();
        const kv_reply after = co_await client.get(keyOf("k"));
        BOOST_TEST((after.status == kv_status::Done && after.entries.empty()));
    });
}

BOOST_AUTO_TEST_CASE(lost_answer_of_a_write_is_unknown_and_the_write_is_not_repeated)
{
    // The service executes the write, and the connection breaks before the answer. A retry on the second
    // endpoint would execute the write twice, and reporting a failure would be wrong, too.
    run([&]() -> asio::awaitable<void> {
        kv_client two(
            context.get_executor(), { endpointOf(server.port()), endpointOf(server.port()) }, callTimeout);
        server.faults().dropAnswers = 1;
        const kv_reply reply = co_await two.transact(put("k", "v"));
        BOOST_TEST((reply.status == kv_status::Unknown));
        BOOST_TEST(server.counters().transaction == 1u);
        BOOST_TEST((co_await two.get(keyOf("k"))).entries.size() == 1u);
    });
}

BOOST_AUTO_TEST_CASE(paused_service_makes_a_write_unknown_within_the_timeout)
{
    // The service is paused during a call and resumes later: the write takes effect after the caller's
    // timeout.
    run([&]() -> asio::awaitable<void> {
        co_await client.get(keyOf("k"));
        server.pause();
        const kv_reply reply = co_await client.transact(put("k", "v"));
        BOOST_TEST((reply.status == kv_status::Unknown));
        server.resume();
        BOOST_TEST((co_await client.get(keyOf("k"))).entries.size() == 1u);
    });
}

BOOST_AUTO_TEST_CASE(closed_idle_connection_does_not_make_a_write_unknown)
{
    // The service restarts between two calls, which closes the idle connection. A write sent on it would end
    // as Unknown although the service never received it.
    run([&]() -> asio::awaitable<void> {
        co_await client.get(keyOf("k"));
        server.goDown();
        server.comeUp();
        co_await wait(std::chrono::milliseconds(1));
        const kv_reply reply = co_await client.transact(put("k", "v"));
        BOOST_TEST((reply.status == kv_status::Done && reply.succeeded));
    });
}

BOOST_AUTO_TEST_CASE(second_endpoint_answers_when_the_first_is_down)
{
    run([&]() -> asio::awaitable<void> {
        kvstandin::kv_server other(context.get_executor(), 0, 0);
        kv_client two(
            context.get_executor(), { endpointOf(server.port()), endpointOf(other.port()) }, callTimeout);
        server.goDown();
        const kv_reply reply = co_await two.transact(put("k", "v"));
        BOOST_TEST((reply.status == kv_status::Done && reply.succeeded));
        other.stop();
        co_await wait(std::chrono::milliseconds(1));
    });
}

BOOST_AUTO_TEST_CASE(revoked_lease_deletes_its_keys)
{
    run([&]() -> asio::awaitable<void> {
        const kv_lease_reply lease = co_await client.grantLease(60);
        BOOST_TEST_REQUIRE((lease.status == kv_status::Done && lease.id != 0));
        co_await client.transact(put("k", "v", lease.id));
        BOOST_TEST((co_await client.keepLease(lease.id)).ttlSeconds == 60);
        BOOST_TEST(((co_await client.revokeLease(lease.id)).status == kv_status::Done));
        BOOST_TEST((co_await client.get(keyOf("k"))).entries.empty());
        BOOST_TEST((co_await client.keepLease(lease.id)).ttlSeconds == 0);
        BOOST_TEST(((co_await client.revokeLease(lease.id)).status == kv_status::Done));
    });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(kv_watch_stream, fixture)

BOOST_AUTO_TEST_CASE(changes_are_reported_from_the_requested_revision)
{
    run([&]() -> asio::awaitable<void> {
        co_await client.transact(put("/c/a", "1"));
        const kv_reply second = co_await client.transact(put("/c/a", "2"));
        kv_watch watch(context.get_executor(), client.endpoints(), watchOf("/c/", second.revision));
        const kv_watch_batch batch = co_await watch.next();
        BOOST_TEST_REQUIRE(batch.events.size() == 1u);
        BOOST_TEST(batch.events[0].entry.value == "2");
        co_await client.transact(erase("/c/a"));
        BOOST_TEST((co_await watch.next()).events.at(0).isDelete);
    });
}

BOOST_AUTO_TEST_CASE(outage_loses_no_change_and_repeats_none)
{
    // The stream breaks, and keys change before the service is available again. The watch must report each
    // change once; otherwise a node would keep a stale configuration until the next change.
    run([&]() -> asio::awaitable<void> {
        kv_watch watch(context.get_executor(), client.endpoints(), watchOf("k", 1));
        co_await client.transact(put("k", "1"));
        BOOST_TEST((co_await watch.next()).events.at(0).entry.value == "1");
        server.goDown();
        server.store().transact(put("k", "2"), {});
        server.store().transact(put("k", "3"), {});
        server.comeUp();
        const kv_watch_batch batch = co_await watch.next();
        BOOST_TEST_REQUIRE(batch.events.size() == 2u);
        BOOST_TEST(batch.events[0].entry.value == "2");
        BOOST_TEST(batch.events[1].entry.value == "3");
    });
}

BOOST_AUTO_TEST_CASE(silent_stream_is_reopened)
{
    // The service's VM is lost without closing the connection, which stays open without data. The watch must
    // abandon the stream after its silence timeout and report the change from a new one.
    run([&]() -> asio::awaitable<void> {
        kv_watch watch(context.get_executor(), client.endpoints(), watchOf("k", 1));
        co_await client.transact(put("k", "1"));
        co_await watch.next();
        server.pause();
        server.store().transact(put("k", "2"), {});
        asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                co_await wait(2 * callTimeout);
                server.resume();
            },
            asio::detached);
        BOOST_TEST((co_await watch.next()).events.at(0).entry.value == "2");
        BOOST_TEST(server.counters().watch >= 2u);
    });
}

BOOST_AUTO_TEST_CASE(compacted_history_is_reported)
{
    run([&]() -> asio::awaitable<void> {
        co_await client.transact(put("k", "1"));
        co_await client.transact(put("k", "2"));
        server.store().compact(server.store().revision());
        kv_watch watch(context.get_executor(), client.endpoints(), watchOf("k", 1));
        BOOST_TEST((co_await watch.next()).compactedTo > 0);
        co_await client.transact(put("k", "3"));
        BOOST_TEST((co_await watch.next()).events.at(0).entry.value == "3");
    });
}

BOOST_AUTO_TEST_CASE(cancelled_watch_ends)
{
    run([&]() -> asio::awaitable<void> {
        kv_watch watch(context.get_executor(), client.endpoints(), watchOf("k", 0));
        asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                co_await wait(std::chrono::milliseconds(20));
                watch.cancel();
            },
            asio::detached);
        BOOST_TEST((co_await watch.next()).isCancelled);
    });
}

BOOST_AUTO_TEST_SUITE_END()
