#include "gateway/requests/choiceexplanation.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <ctime>
#include <random>

using namespace std::chrono_literals;
using gateway::choice_explanation;
using gateway::choice_question;

namespace {

/// A node with one model service and one workspace, in a state drawn by a seed.
class drawn_node {
public:
    drawn_node(std::uint64_t seed, unsigned servers)
        : m_random(seed)
        , m_context(m_io.get_executor(), options())
        , m_now(m_context.startedAt + 60s)
    {
        auto configuration = std::make_shared<catalogue::configuration>();
        configuration->version = 3;
        catalogue::service service { "engines", catalogue::engine_traits { 16, 400000, 0, 0 }, {} };
        configuration->services.emplace("engines", service);
        catalogue::route route;
        route.name = "chat";
        route.host = "a.example";
        route.pathPrefix = "/chat/";
        route.kind = catalogue::request_kind::Stream;
        route.timeout = 10s;
        route.targetLatency = 1s;
        route.shares = { { "engines", 1 } };
        route.hasPrompts = true;
        configuration->routes.push_back(route);
        configuration->workspaces.push_back({ "print-shop", {} });
        configuration->workspaceIndexByKey.emplace("secret-key", 0);
        configuration->needsKeys = true;
        configuration->buildIndex();
        m_context.configuration = configuration;
        m_context.evidenceAt = m_now;
        for (unsigned i = 0; i < servers; ++i)
            addServer(i);
        m_context.updateServers();
    }

    gateway::node_context& context() { return m_context; }
    utils::time_point now() const { return m_now; }
    choice_question question()
    {
        choice_question question { "a.example", "/chat/1", "print-shop", {}, {} };
        question.prompt = { { draw(5), 4000 }, { 1000 + draw(1000), 300 } };
        return question;
    }

    /// The server to which the request would be sent; empty if it would be refused.
    std::string chosenFor(const choice_question& question)
    {
        gateway::client_request request;
        request.host = question.host;
        request.target = question.path;
        request.key = "secret-key";
        request.requestId = question.requestId;
        request.prompt = question.prompt;
        for (const auto& part : question.prompt)
            request.promptTokens += part.tokens;
        request.arrivedAt = m_now;
        return utils::valueOr(
            [&]() -> utils::result<std::string> {
                BOOST_LEAF_AUTO(plan, planRequest(m_context, request, m_now));
                const std::set<utils::server_id> tried;
                const auto chosen = chooseServer(
                    m_context, plan, { tried, std::nullopt, m_context.nextRequestNumber * 31 }, m_now);
                const bool isRefused
                    = !chosen || refuseOverload(m_context, request, plan, *chosen, m_now).has_value();
                return isRefused ? std::string() : chosen->server.str();
            },
            [](const utils::failure&) { return std::string("failure"); });
    }

private:
    static gateway::node_options options()
    {
        gateway::node_options options;
        options.name = "vm-1";
        options.dataCentre = "a";
        return options;
    }
    std::uint64_t draw(std::uint64_t below) { return m_random() % below; }

    void addServer(unsigned index)
    {
        catalogue::backend_server server;
        server.id = utils::server_id("engine-" + std::to_string(index));
        server.service = "engines";
        server.dataCentre = draw(2) == 0 ? "a" : "b";
        server.address = "127.0.0.1:1";
        server.slots = 16;
        server.startedAtMs = 1;
        server.isDraining = draw(10) == 0;
        m_context.servers.put(server.id, server, m_now - 30s);
        for (std::uint64_t i = draw(30); i > 0; --i)
            m_context.loads.started(server.id, static_cast<std::uint32_t>(draw(2) * 3000));
        if (draw(4) == 0)
            m_context.pace.reported(server.id, 2.5, m_now - std::chrono::milliseconds(draw(1000)));
        if (draw(8) == 0)
            m_context.rests.asked({ server.id, 1 }, 3s, m_now - 1s);
        if (draw(3) == 0) {
            const std::vector<decisions::prompt_part> held { { draw(5), 4000 }, { 7, 10 } };
            m_context.choice.recordSent({ server.id, server.dataCentre, 16, 1, 400000, 1 }, held);
        }
    }

    std::mt19937_64 m_random;
    boost::asio::io_context m_io;
    gateway::node_context m_context;
    utils::time_point m_now;
};

choice_explanation explain(drawn_node& node, const choice_question& question)
{
    return utils::valueOr(
        [&]() -> utils::result<choice_explanation> {
            return explainChoice(node.context(), question, node.now());
        },
        [](const utils::failure& failure) {
            BOOST_TEST(false, failure.detail);
            return choice_explanation();
        });
}

} // namespace

BOOST_AUTO_TEST_SUITE(choice_explanations)

// Guards against an explanation that names another server, or another end, than the request would have had.
BOOST_AUTO_TEST_CASE(the_explanation_agrees_with_the_choice)
{
    unsigned refused = 0;
    for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
        drawn_node node(seed, 1 + seed % 12);
        const choice_question question = node.question();
        const choice_explanation explanation = explain(node, question);
        // Asked again, it says the same: the first question has changed nothing.
        BOOST_TEST(toJson(explain(node, question)) == toJson(explanation));
        const std::string chosen = node.chosenFor(question);
        refused += chosen.empty() ? 1 : 0;
        if (chosen.empty()) {
            BOOST_TEST(explanation.end != "sent");
            continue;
        }
        BOOST_TEST(explanation.end == "sent");
        BOOST_REQUIRE(!explanation.servers.empty());
        BOOST_TEST(explanation.servers.front().id == chosen);
        BOOST_TEST(explanation.servers.front().isChosen);
    }
    BOOST_TEST(refused > 0U);
    BOOST_TEST(refused < 1000U);
}

// Guards against keys of callers in what operators pass on.
BOOST_AUTO_TEST_CASE(the_explanation_has_no_key)
{
    drawn_node node(1, 5);
    const choice_explanation explanation = explain(node, node.question());
    BOOST_TEST(toJson(explanation).find("secret") == std::string::npos);
    BOOST_TEST(toText(explanation).find("secret") == std::string::npos);
}

// Guards against an operator's question that stops a node with many servers.
BOOST_AUTO_TEST_CASE(a_question_among_thousands_of_servers_is_answered_at_once)
{
    drawn_node node(1, 3000);
    const choice_question question = node.question();
    const std::clock_t begin = std::clock();
    const std::string text = toJson(explain(node, question));
    const double seconds = static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
    BOOST_TEST(seconds < 0.05);
    BOOST_TEST(!text.empty());
}

BOOST_AUTO_TEST_CASE(questions_that_cannot_be_read_are_refused)
{
    const auto isRead = [](std::string_view query) {
        return utils::valueOr(
            [&]() -> utils::result<bool> {
                BOOST_LEAF_CHECK(gateway::parseQuestion(query));
                return true;
            },
            [](const utils::failure& failure) {
                BOOST_TEST(!failure.detail.empty());
                return false;
            });
    };
    BOOST_TEST(isRead("host=a.example&path=/chat/1&workspace=x&prompt=a1:8000,b2:1&hint=5"));
    BOOST_TEST(!isRead("path=/chat/1"));
    BOOST_TEST(!isRead("host=a.example&path=chat"));
    BOOST_TEST(!isRead("host=a.example&path=/&prompt=a1"));
    BOOST_TEST(!isRead("host=a.example&path=/&hint=many"));
    BOOST_TEST(!isRead("host=a.example&path=/&colour=red"));
    BOOST_TEST(!isRead(std::string(choice_question::maxLength + 1, 'x')));
}

BOOST_AUTO_TEST_SUITE_END()
