#pragma once

#include "scriptedkv.h"

#include "config/documentwriter.h"
#include "keyvalue/configstore.h"
#include "utils/crypto.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>

using test_store = keyvalue::config_store<scripted_kv, virtual_clock>;

/// An in-process key-value service with a configuration of two calling teams with different owners and one
/// pool, and the configuration store of one node.
struct config_fixture {
    config_fixture()
    {
        const config::document first = config::parsePartialDocument(text, "first.yaml").value;
        config::change_request request = requestBy("admin-key", 0);
        for (const auto& [name, section] : config::toSections(first))
            request.edits.emplace_back(config::put_section { name, section });
        BOOST_TEST_REQUIRE((change(store, request).verdict == config::change_verdict::Accepted));
    }

    static std::string hashOf(const std::string& key) { return utils::sha256Hex(key); }

    static utils::state_chart loadChart()
    {
        return utils::state_chart::load(LYCHEEFRONT_SOURCE_DIR "/share/lycheefront/charts/config_change.yaml")
            .value();
    }

    config::change_request requestBy(const std::string& key, utils::config_revision base)
    {
        config::change_request request;
        request.id = "change-" + std::to_string(++changes);
        request.keyHash = hashOf(key);
        request.firstKeyHash = hashOf("admin-key");
        request.baseRevision = base;
        return request;
    }

    /// A request that sets the team's weight.
    config::change_request weightRequest(
        const std::string& key, const std::string& team, double weight, utils::config_revision base)
    {
        config::calling_team changed = store.cached()->whole->teams.at(utils::team_id(team));
        changed.weight = weight;
        config::change_request request = requestBy(key, base);
        request.edits.emplace_back(config::put_section { "teams/" + team, config::sectionText(changed) });
        return request;
    }

    config::change_outcome change(test_store& by, const config::change_request& request)
    {
        config::change_outcome outcome;
        spawn(by, request, outcome);
        run();
        return outcome;
    }

    /// Starts a change; run() completes it and sets `into`.
    void spawn(test_store& by, const config::change_request& request, config::change_outcome& into)
    {
        boost::asio::co_spawn(context, by.change(request),
            [&into](const std::exception_ptr& e, config::change_outcome outcome) {
                if (e)
                    std::rethrow_exception(e);
                into = std::move(outcome);
            });
    }

    void run()
    {
        context.run();
        context.restart();
    }

    /// The snapshot that a newly started node reads. Clears pending read faults.
    config::snapshot_pointer readAnew()
    {
        kv.readFaults.clear();
        test_store other(kv, clock, "/t/", chart);
        keyvalue::snapshot_reply reply;
        boost::asio::co_spawn(context, other.read(),
            [&](const std::exception_ptr&, keyvalue::snapshot_reply got) { reply = std::move(got); });
        run();
        BOOST_TEST_REQUIRE((reply.snapshot != nullptr), reply.error);
        return reply.snapshot;
    }

    double weightNow(const std::string& team)
    {
        return readAnew()->whole->teams.at(utils::team_id(team)).weight;
    }

    const std::string text = "operators:\n"
                             "  admin: {key_sha256: ["
        + hashOf("admin-key")
        + "], owns: ['*']}\n"
          "  counter-op: {key_sha256: ["
        + hashOf("counter-key")
        + "], owns: [counter]}\n"
          "  events-op: {key_sha256: ["
        + hashOf("events-key")
        + "], owns: [events]}\n"
          "teams:\n"
          "  counter-app: {owner: counter, key_sha256: ["
        + hashOf("team-1")
        + "], uses: [theses]}\n"
          "  events-site: {owner: events, key_sha256: ["
        + hashOf("team-2")
        + "], uses: [theses]}\n"
          "pools:\n"
          "  theses: {owner: counter, kind: model_engines, models: [m], approved: [counter-app],\n"
          "    servers: {engine-1: {address: '127.0.0.1:9101'}}}\n";

    unsigned changes = 0;
    boost::asio::io_context context { 1 };
    utils::state_chart chart = loadChart();
    virtual_clock clock;
    scripted_kv kv { context.get_executor() };
    test_store store { kv, clock, "/t/", chart };
};
