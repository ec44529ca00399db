#include "draftbench.h"
#include "paymentbench.h"

#include "utils/statechart.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace std::chrono_literals;

namespace {

constexpr std::size_t nodeCount = 4;
constexpr std::size_t keysPerHistory = 40;
constexpr std::size_t sendingsPerKey = 3;
constexpr unsigned historyCount = 300;
constexpr int faultPercent = 25;

utils::state_chart loadChart(const std::string& name)
{
    return utils::state_chart::load(LYCHEEFRONT_SOURCE_DIR "/share/lycheefront/charts/" + name).value();
}

const utils::state_chart& operationChart()
{
    static const utils::state_chart chart = loadChart("operation.yaml");
    return chart;
}

const utils::state_chart& draftChart()
{
    static const utils::state_chart chart = loadChart("draft.yaml");
    return chart;
}

/// One step of a history. The meaning of `value` depends on the kind.
struct history_step {
    enum class kind {
        Send,
        Pause,
        Resume,
        Kill,
        Restart,
        CallerGone,
        Advance
    };
    kind what = kind::Send;
    unsigned value = 0;
    std::size_t node = 0;
};

std::ostream& operator<<(std::ostream& out, const history_step& step)
{
    static constexpr std::array names { "send", "pause", "resume", "kill", "restart", "callerGone",
        "advance" };
    return out << names.at(static_cast<std::size_t>(step.what)) << '(' << step.value << ", node " << step.node
               << ')';
}

/// A sequence of steps, and the seed that draws the outcomes of its calls.
struct history {
    std::vector<history_step> steps;
    unsigned seed = 0;
};

std::ostream& operator<<(std::ostream& out, const history& h)
{
    out << "seed " << h.seed << ':';
    for (const history_step& step : h.steps)
        out << ' ' << step;
    return out;
}

/// Sums over all histories; printed to show that the faults have an effect.
struct totals {
    std::size_t payments = 0;
    std::size_t sendings = 0;
    std::size_t ran = 0;
    std::size_t answered = 0;
    std::size_t notRun = 0;
    std::size_t mayHaveRun = 0;
    std::size_t lost = 0;
};

rc::Gen<history_step> stepGenerator()
{
    using kind = history_step::kind;
    const auto what = rc::gen::weightedElement<kind>({ { 50, kind::Advance }, { 8, kind::Pause },
        { 10, kind::Resume }, { 4, kind::Kill }, { 6, kind::Restart }, { 5, kind::CallerGone } });
    return rc::gen::build<history_step>(rc::gen::set(&history_step::what, what),
        rc::gen::set(&history_step::value, rc::gen::inRange<unsigned>(0, 4000)),
        rc::gen::set(&history_step::node, rc::gen::inRange<std::size_t>(0, nodeCount)));
}

/// Sends every key sendingsPerKey times at random positions among the other steps.
rc::Gen<history> historyGenerator()
{
    const auto steps = rc::gen::container<std::vector<history_step>>(250, stepGenerator());
    const auto places = rc::gen::container<std::vector<std::size_t>>(
        keysPerHistory * sendingsPerKey, rc::gen::inRange<std::size_t>(0, 250));
    const auto nodes = rc::gen::container<std::vector<std::size_t>>(
        keysPerHistory * sendingsPerKey, rc::gen::inRange<std::size_t>(0, nodeCount));
    const auto seed = rc::gen::inRange<unsigned>(0, 1U << 30U);
    const auto drawing = rc::gen::resize(rc::kNominalSize, rc::gen::tuple(steps, places, nodes, seed));
    return rc::gen::map(drawing, [](const auto& drawn) {
        history h { std::get<0>(drawn), std::get<3>(drawn) };
        for (std::size_t i = 0; i < std::get<1>(drawn).size(); ++i) {
            const auto at = std::min(std::get<1>(drawn)[i], h.steps.size());
            h.steps.insert(h.steps.begin() + static_cast<std::ptrdiff_t>(at),
                { history_step::kind::Send, static_cast<unsigned>(i % keysPerHistory),
                    std::get<2>(drawn)[i] });
        }
        return h;
    });
}

template <class Fate> Fate drawFate(std::mt19937& random, const std::vector<Fate>& faults)
{
    if (std::uniform_int_distribution(1, 100)(random) > faultPercent)
        return Fate::Answered;
    return faults[std::uniform_int_distribution<std::size_t>(0, faults.size() - 1)(random)];
}

void injectFaults(payment_bench& bench, std::mt19937& random)
{
    bench.kv().fate = [&random](const auto&) {
        return drawFate<kv_fate>(random,
            { kv_fate::NotSent, kv_fate::RequestLost, kv_fate::AnswerLost, kv_fate::LateEffect,
                kv_fate::Slow });
    };
    bench.serviceFate = [&random](std::size_t) {
        return drawFate<service_fate>(random,
            { service_fate::NotReached, service_fate::CutBefore, service_fate::CutAfter,
                service_fate::LateAnswer, service_fate::SlowToReach });
    };
    bench.gate = [&random](std::size_t) -> std::optional<utils::failure> {
        if (std::uniform_int_distribution(1, 20)(random) > 1)
            return std::nullopt;
        return utils::failure { utils::error_kind::NotApproved, {}, {}, {} };
    };
}

void play(payment_bench& bench, const history_step& step)
{
    using kind = history_step::kind;
    switch (step.what) {
    case kind::Send:
        bench.send("order-" + std::to_string(step.value), step.node);
        return;
    case kind::Pause:
        return bench.nodes().pause(step.node);
    case kind::Resume:
        if (step.value % 2 == 0)
            return bench.nodes().resumeNewestFirst(step.node);
        return bench.nodes().resume(step.node);
    case kind::Kill:
        return bench.kill(step.node);
    case kind::Restart:
        return bench.nodes().restart(step.node);
    case kind::CallerGone:
        if (!bench.sendings().empty())
            bench.callerGone(step.value % bench.sendings().size());
        return;
    case kind::Advance:
        return bench.time().advance(std::chrono::milliseconds(step.value / 8));
    }
}

/// Ends all faults, resumes all nodes and advances the time so that every state machine can finish.
void settle(payment_bench& bench)
{
    bench.kv().fate = [](const auto&) { return kv_fate::Answered; };
    bench.serviceFate = [](std::size_t) { return service_fate::Answered; };
    bench.gate = [](std::size_t) { return std::optional<utils::failure>(); };
    for (std::size_t node = 0; node < nodeCount; ++node) {
        bench.nodes().resume(node);
        bench.nodes().restart(node);
    }
    bench.time().advance(5min);
}

void checkSending(const payment_bench& bench, std::size_t index)
{
    const sending& s = bench.sendings()[index];
    if (s.isConnectionLost)
        RC_ASSERT(s.finalAnswers == 0U);
    else
        RC_ASSERT(s.finalAnswers == 1U);
    if (s.saysNotRun())
        RC_ASSERT(bench.ledgerOf(index) == 0U);
    if (s.answer) {
        RC_ASSERT(s.answer->body == "receipt " + s.key);
        RC_ASSERT(bench.ledger(s.key) == 1U);
    }
    RC_ASSERT(bench.ledger(s.key) <= 1U);
}

/// A key whose sendings were all answered not_run must run when sent again.
void checkNotRunMayBeRepeated(payment_bench& bench)
{
    std::set<std::string> unclear;
    std::set<std::string> keys;
    for (const sending& s : bench.sendings()) {
        keys.insert(s.key);
        if (!s.saysNotRun())
            unclear.insert(s.key);
    }
    for (const std::string& key : keys) {
        if (unclear.contains(key))
            continue;
        const std::size_t again = bench.send(key, 0);
        bench.time().advance(5s);
        RC_ASSERT(bench.sendings()[again].answer.has_value());
    }
}

void count(const payment_bench& bench, totals& sum)
{
    std::set<std::string> keys;
    for (const sending& s : bench.sendings()) {
        keys.insert(s.key);
        ++sum.sendings;
        sum.answered += s.answer ? 1 : 0;
        sum.notRun += s.saysNotRun() ? 1 : 0;
        sum.mayHaveRun += s.failure && !s.saysNotRun() ? 1 : 0;
        sum.lost += s.isConnectionLost ? 1 : 0;
    }
    sum.payments += keys.size();
    for (const std::string& key : keys)
        sum.ran += bench.ledger(key);
}

bool isNotRun(const utils::failure& failure)
{
    return failure.run.value_or(utils::answerFor(failure.kind).run) == utils::run_state::NotRun;
}

void playDrafts(draft_bench& bench, const history_step& step)
{
    using kind = history_step::kind;
    switch (step.what) {
    case kind::Send:
        bench.send("draft-" + std::to_string(step.value), step.node);
        return;
    case kind::Pause:
        return bench.nodes().pause(step.node);
    case kind::Resume:
        if (step.value % 2 == 0)
            return bench.nodes().resumeNewestFirst(step.node);
        return bench.nodes().resume(step.node);
    case kind::Kill:
        return bench.kill(step.node);
    case kind::Restart:
        return bench.restart(step.node);
    case kind::CallerGone:
        return bench.leave(step.node);
    case kind::Advance:
        return bench.time().advance(std::chrono::milliseconds(step.value));
    }
}

void injectDraftFaults(draft_bench& bench, std::mt19937& random)
{
    bench.kv().fate = [&random](const auto&) {
        return drawFate<kv_fate>(random,
            { kv_fate::NotSent, kv_fate::RequestLost, kv_fate::AnswerLost, kv_fate::LateEffect,
                kv_fate::Slow });
    };
    bench.engineFate = [&random](const operations::draft_record& record) {
        // At most two crashes per draft: a third crash would become its final answer.
        if (record.crashes >= 2)
            return engine_fate::Answered;
        return drawFate<engine_fate>(random, { engine_fate::Cut, engine_fate::NotRun });
    };
}

void settleDrafts(draft_bench& bench)
{
    bench.kv().fate = [](const auto&) { return kv_fate::Answered; };
    bench.engineFate = [](const auto&) { return engine_fate::Answered; };
    for (std::size_t node = 0; node < nodeCount; ++node) {
        bench.nodes().resume(node);
        bench.restart(node);
    }
    bench.time().advance(20min);
}

void checkDraft(draft_bench& bench, const draft_sending& s)
{
    RC_ASSERT(s.finalAnswers == (s.isConnectionLost ? 0U : 1U));
    if (s.failure && isNotRun(*s.failure)) {
        for (const auto& [key, entry] : bench.kv().entries()) {
            const auto record = operations::decodeDraftRecord(entry.value);
            RC_ASSERT(!record || record->nonce != s.nonce);
        }
    }
    if (!s.id)
        return;
    const auto record = bench.poll(*s.id);
    RC_ASSERT(record.has_value());
    RC_ASSERT(operations::toString(record->state) == "done");
    RC_ASSERT(record->answer->body == "answer to summarise " + s.name);
}

} // namespace

BOOST_AUTO_TEST_CASE(accepted_drafts_have_their_answers_in_random_histories)
{
    // Drafts are sent through four nodes that are paused, resumed, killed, restarted and told to leave, while
    // a quarter of the platform calls fail and engines crash. Each connected caller must get one answer; each
    // accepted draft must have its complete answer in the end; a draft refused as not_run must not be stored.
    std::size_t accepted = 0;
    std::size_t refused = 0;
    std::size_t lost = 0;
    const bool holds = rc::check("drafts do not vanish", [&] {
        const history h = *historyGenerator();
        draft_bench bench(draftChart(), nodeCount);
        bench.teamLimit = 100;
        bench.settings.maxClaims = 1000;
        std::mt19937 random(h.seed);
        injectDraftFaults(bench, random);
        for (const history_step& step : h.steps)
            playDrafts(bench, step);
        settleDrafts(bench);
        for (const draft_sending& s : bench.sendings()) {
            checkDraft(bench, s);
            accepted += s.id ? 1 : 0;
            refused += s.failure ? 1 : 0;
            lost += s.isConnectionLost ? 1 : 0;
        }
        RC_ASSERT(bench.workers() == 0U);
    });
    std::cout << "drafts accepted " << accepted << ", refused " << refused << ", connection lost " << lost
              << '\n';
    BOOST_TEST(holds);
    BOOST_TEST(accepted >= 10000U);
}

BOOST_AUTO_TEST_CASE(keyed_payments_run_at_most_once_in_random_histories)
{
    // Callers send each payment three times through four nodes, while nodes are paused, resumed, killed and
    // restarted, the platform loses requests and answers or lets writes take effect late, and the service
    // connection breaks before or after the request ran. Each connected caller must get one answer, no
    // payment may run twice, and no sending that was answered not_run may have run its payment.
    totals sum;
    unsigned histories = 0;
    const bool holds = rc::check("at most once", [&] {
        const history h = *historyGenerator();
        payment_bench bench(operationChart(), nodeCount);
        std::mt19937 random(h.seed);
        injectFaults(bench, random);
        for (const history_step& step : h.steps)
            play(bench, step);
        settle(bench);
        for (std::size_t index = 0; index < bench.sendings().size(); ++index)
            checkSending(bench, index);
        count(bench, sum);
        checkNotRunMayBeRepeated(bench);
        ++histories;
    });
    std::cout << histories << " histories, " << sum.payments << " keyed payments in " << sum.sendings
              << " sendings: ran " << sum.ran << ", answered " << sum.answered << ", not_run " << sum.notRun
              << ", may_have_run " << sum.mayHaveRun << ", connection lost " << sum.lost << '\n';
    BOOST_TEST(holds);
    BOOST_TEST(histories >= historyCount);
    BOOST_TEST(sum.payments >= 10000U);
}
