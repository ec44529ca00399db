#include "config/documentwriter.h"
#include "keyvalue/asioclock.h"
#include "keyvalue/configstore.h"
#include "keyvalue/kvclient.h"
#include "kvstandin/kvserver.h"
#include "utils/crypto.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>

namespace asio = boost::asio;

namespace {

constexpr auto callTimeout = std::chrono::milliseconds(200);

/// A node's configuration store, connected by HTTP to the stand-in service, with the sample document applied.
struct http_fixture {
    http_fixture()
    {
        std::ifstream file(LYCHEEFRONT_SOURCE_DIR "/share/lycheefront/sample/document.yaml");
        std::ostringstream text;
        text << file.rdbuf();
        config::change_request first = makeRequest("first", 0);
        for (const auto& [name, section] :
            config::toSections(config::parseDocument(text.str(), "sample").value))
            first.edits.emplace_back(config::put_section { name, section });
        BOOST_TEST_REQUIRE((change(first).verdict == config::change_verdict::Accepted));
    }

    static config::change_request makeRequest(const std::string& id, utils::config_revision base)
    {
        config::change_request request;
        request.id = id;
        request.keyHash = utils::sha256Hex("sample-admin-key");
        request.firstKeyHash = request.keyHash;
        request.baseRevision = base;
        return request;
    }

    /// Approves the calling team that is not approved in the sample.
    config::change_outcome approve()
    {
        config::change_request request = makeRequest("approve", 1);
        request.edits.emplace_back(
            config::set_approval { utils::pool_id("press"), utils::team_id("events-site"), true });
        return change(request);
    }

    config::change_outcome change(const config::change_request& request)
    {
        config::change_outcome outcome;
        asio::co_spawn(
            context, store.change(request), [&](const std::exception_ptr& e, config::change_outcome got) {
                context.stop();
                if (e)
                    std::rethrow_exception(e);
                outcome = std::move(got);
            });
        context.run();
        context.restart();
        return outcome;
    }

    /// Checks that the change is in the head's history and that it made the only new revision.
    void checkAppliedOnce()
    {
        const auto entries = server.store().get({ store.headKey(), {}, 0 }).entries;
        BOOST_TEST_REQUIRE(entries.size() == 1u);
        const auto head = config::decodeHead(entries.front().value);
        BOOST_TEST_REQUIRE(head.has_value());
        BOOST_TEST(head->revision == 2u);
        BOOST_TEST((head->findChange("approve") != nullptr));
    }

    asio::io_context context { 1 };
    kvstandin::kv_server server { context.get_executor(), 0, 0 };
    keyvalue::kv_client client { context.get_executor(),
        { { asio::ip::address_v4::loopback(), server.port() } }, callTimeout };
    keyvalue::asio_clock clock { context.get_executor() };
    utils::state_chart chart
        = utils::state_chart::load(LYCHEEFRONT_SOURCE_DIR "/share/lycheefront/charts/config_change.yaml")
              .value();
    keyvalue::config_store<keyvalue::kv_client, keyvalue::asio_clock> store { client, clock, "/t/", chart };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(config_over_http, http_fixture)

BOOST_AUTO_TEST_CASE(lost_answer_is_found_in_the_history)
{
    // The service applies the change, and the connection breaks before the answer. The outcome must be
    // Accepted, and the change must be applied once.
    server.faults().dropAnswers = 1;
    BOOST_TEST((approve().verdict == config::change_verdict::Accepted));
    checkAppliedOnce();
}

BOOST_AUTO_TEST_CASE(delayed_write_and_its_retry_make_one_change)
{
    // The connection breaks before the write has an effect, so the write is retried. Then the first write
    // arrives; it must not apply the change a second time.
    server.faults().lateWrites = 1;
    server.faults().lateBy = 2 * callTimeout;
    BOOST_TEST((approve().verdict == config::change_verdict::Accepted));
    asio::steady_timer timer(context, 3 * callTimeout);
    timer.async_wait([&](const boost::system::error_code&) { context.stop(); });
    context.run();
    context.restart();
    checkAppliedOnce();
}

BOOST_AUTO_TEST_CASE(service_that_pauses_for_a_while_ends_in_one_change)
{
    // The service is paused for longer than the call timeout and then executes the requests it had received.
    server.pause();
    asio::steady_timer timer(context, 4 * callTimeout);
    timer.async_wait([&](const boost::system::error_code&) { server.resume(); });
    BOOST_TEST((approve().verdict == config::change_verdict::Accepted));
    checkAppliedOnce();
}

BOOST_AUTO_TEST_CASE(service_that_restarts_ends_in_one_change)
{
    server.goDown();
    asio::steady_timer timer(context, callTimeout);
    timer.async_wait([&](const boost::system::error_code&) { server.comeUp(); });
    BOOST_TEST((approve().verdict == config::change_verdict::Accepted));
    checkAppliedOnce();
}

BOOST_AUTO_TEST_SUITE_END()
