#include "scenarioplayer.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <stdexcept>

namespace {

utils::state_chart loadChart(const std::string& name)
{
    return utils::state_chart::load(LYCHEEFRONT_SOURCE_DIR "/share/lycheefront/charts/" + name).value();
}

/// Parses a duration such as "7ms", "2s" or "3min".
utils::duration durationFrom(const std::string& text)
{
    std::size_t digits = 0;
    const long count = std::stol(text, &digits);
    const std::string unit = text.substr(digits);
    if (unit == "ms")
        return std::chrono::milliseconds(count);
    if (unit == "s")
        return std::chrono::seconds(count);
    if (unit == "min")
        return std::chrono::minutes(count);
    throw std::invalid_argument("not a duration: " + text);
}

template <class Fate>
Fate fateFrom(const std::map<std::string, Fate>& words, const std::string& word, const char* what)
{
    if (word.empty())
        return Fate::Answered;
    const auto found = words.find(word);
    if (found == words.end())
        throw std::invalid_argument(std::string("unknown fault of the ") + what + ": " + word);
    return found->second;
}

const std::map<std::string, kv_fate> platformFates { { "none", kv_fate::Answered },
    { "down", kv_fate::NotSent }, { "request_lost", kv_fate::RequestLost },
    { "answer_lost", kv_fate::AnswerLost }, { "late_effect", kv_fate::LateEffect },
    { "slow", kv_fate::Slow } };
const std::map<std::string, service_fate> serviceFates { { "none", service_fate::Answered },
    { "not_reached", service_fate::NotReached }, { "cut_before", service_fate::CutBefore },
    { "cut_after", service_fate::CutAfter }, { "late_answer", service_fate::LateAnswer },
    { "slow_to_reach", service_fate::SlowToReach } };
const std::map<std::string, engine_fate> engineFates { { "none", engine_fate::Answered },
    { "crash", engine_fate::Cut }, { "no_room", engine_fate::NotRun },
    { "rejected", engine_fate::Rejected } };

std::string outcomeOf(const std::optional<utils::failure>& failure)
{
    if (!failure)
        return "nothing";
    return std::string(utils::toString(failure->run.value_or(utils::answerFor(failure->kind).run)));
}

} // namespace

scenario_player::scenario_player(const YAML::Node& scenario)
    : m_operationChart(loadChart("operation.yaml"))
    , m_draftChart(loadChart("draft.yaml"))
    , m_steps(scenario["steps"])
{
    const auto count = scenario["nodes"].as<std::size_t>();
    const auto bench = scenario["bench"].as<std::string>();
    if (bench == "payments")
        m_payments = std::make_unique<payment_bench>(m_operationChart, count);
    else if (bench == "drafts")
        m_drafts = std::make_unique<draft_bench>(m_draftChart, count);
    else
        throw std::invalid_argument("unknown bench: " + bench);
    kv().fate = [this](const auto&) {
        const std::string word = m_platformFault;
        if (m_platformCalls > 0 && --m_platformCalls == 0)
            m_platformFault.clear();
        return fateFrom(platformFates, word, "platform");
    };
    if (m_payments)
        m_payments->serviceFate
            = [this](std::size_t) { return fateFrom(serviceFates, m_serverFault, "service"); };
    else
        m_drafts->engineFate = [this](const auto&) { return fateFrom(engineFates, m_serverFault, "engine"); };
}

bench_nodes& scenario_player::nodes()
{
    return m_payments ? m_payments->nodes() : m_drafts->nodes();
}

fake_kv& scenario_player::kv()
{
    return m_payments ? m_payments->kv() : m_drafts->kv();
}

virtual_time& scenario_player::time()
{
    return m_payments ? m_payments->time() : m_drafts->time();
}

void scenario_player::play()
{
    for (const YAML::Node& step : m_steps) {
        const auto entry = step.begin();
        const auto what = entry->first.as<std::string>();
        BOOST_TEST_CONTEXT("step in line " << step.Mark().line + 1 << ": " << what)
        {
            playStep(what, entry->second);
        }
    }
}

void scenario_player::playStep(const std::string& what, const YAML::Node& value)
{
    if (what == "send")
        return send(value);
    if (what == "advance")
        return time().advance(durationFrom(value.as<std::string>()));
    if (what == "fault")
        return fault(value);
    if (what == "gate" && m_payments)
        return gate(value.as<std::string>());
    if (what == "cut" && m_payments)
        return m_payments->callerGone(m_sent.at(value.as<std::string>()));
    if (what == "cancel" && m_drafts)
        return m_drafts->cancel(m_drafts->sendings().at(m_sent.at(value.as<std::string>())).id.value());
    if (what == "expect")
        return expect(value);
    onNode(what, value.as<std::size_t>());
}

void scenario_player::onNode(const std::string& what, std::size_t node)
{
    if (what == "pause")
        nodes().pause(node);
    else if (what == "resume")
        nodes().resumeNewestFirst(node);
    else if (what == "kill")
        m_payments ? m_payments->kill(node) : m_drafts->kill(node);
    else if (what == "start")
        m_payments ? nodes().restart(node) : m_drafts->restart(node);
    else if (what == "leave" && m_drafts)
        m_drafts->leave(node);
    else
        throw std::invalid_argument("unknown step: " + what);
}

void scenario_player::send(const YAML::Node& value)
{
    const auto key = value["key"].as<std::string>();
    const auto node = value["node"].as<std::size_t>();
    const std::size_t index = m_payments
        ? m_payments->send(key, node, value["body"].as<std::string>("10.00 EUR"))
        : m_drafts->send(key, node);
    m_sent[value["as"].as<std::string>()] = index;
}

void scenario_player::fault(const YAML::Node& value)
{
    if (value["platform"]) {
        m_platformFault = value["platform"].as<std::string>();
        m_platformCalls = value["calls"].as<unsigned>(0);
        (void)fateFrom(platformFates, m_platformFault, "platform");
    }
    if (value["server"])
        m_serverFault = value["server"].as<std::string>();
}

void scenario_player::gate(const std::string& value)
{
    const auto kind = utils::errorKindFromName(value);
    m_payments->gate = [kind](std::size_t) -> std::optional<utils::failure> {
        if (!kind)
            return std::nullopt;
        return utils::failure { *kind, {}, {}, {} };
    };
}

std::size_t scenario_player::indexOf(const YAML::Node& value, const char* field) const
{
    return m_sent.at(value[field].as<std::string>());
}

void scenario_player::expect(const YAML::Node& value)
{
    if (m_payments)
        expectPayment(value);
    else
        expectDraft(value);
}

void scenario_player::expectPayment(const YAML::Node& value)
{
    if (value["ledger"])
        BOOST_TEST(m_payments->ledger(value["key"].as<std::string>()) == value["ledger"].as<unsigned>());
    if (!value["sending"])
        return;
    const sending& s = m_payments->sendings().at(indexOf(value, "sending"));
    BOOST_TEST((s.answer ? "answered" : outcomeOf(s.failure)) == value["says"].as<std::string>());
    if (value["kind"])
        BOOST_TEST((s.failure && utils::answerFor(s.failure->kind).name == value["kind"].as<std::string>()));
}

void scenario_player::expectDraft(const YAML::Node& value)
{
    const draft_sending& s = m_drafts->sendings().at(indexOf(value, "sending"));
    if (value["says"])
        BOOST_TEST((s.id ? "accepted" : outcomeOf(s.failure)) == value["says"].as<std::string>());
    if (value["state"]) {
        const auto record = m_drafts->poll(s.id.value_or("0-none"));
        BOOST_TEST((record ? std::string(operations::toString(record->state)) : "gone")
            == value["state"].as<std::string>());
    }
    if (value["runs"])
        BOOST_TEST(m_drafts->runs(s.name) == value["runs"].as<unsigned>());
}
