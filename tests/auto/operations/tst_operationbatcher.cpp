#include "fakekv.h"

#include "operations/operationbatcher.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <iomanip>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace std::chrono_literals;

namespace {

keyvalue::kv_transaction write(const std::string& key, std::int64_t revision, const std::string& value)
{
    keyvalue::kv_transaction transaction;
    transaction.compares.push_back({ key, revision });
    transaction.onSuccess.emplace_back(keyvalue::kv_put { key, value, 0 });
    transaction.onFailure.emplace_back(keyvalue::kv_get { key, {}, 0 });
    return transaction;
}

/// A batcher connected to a fake platform in virtual time, as in the daemon.
class batcher_bench {
public:
    batcher_bench(virtual_time& time, fake_kv& kv, const operations::batch_settings& settings = {})
        : m_time(time)
        , m_kv(kv)
        , m_batcher(settings)
    {
    }

    void submit(std::uint64_t owner, const keyvalue::kv_transaction& transaction, bool canWait = false)
    {
        perform(m_batcher.submit({ owner, 1, transaction, canWait }, m_time.now()));
    }

    std::map<std::uint64_t, keyvalue::kv_reply> replies;
    std::function<void(std::uint64_t owner)> onReply = [](std::uint64_t) {};

private:
    void perform(const operations::batch_actions& actions)
    {
        for (const operations::batch_action& action : actions) {
            if (const auto* send = std::get_if<operations::send_batch>(&action)) {
                m_kv.call(send->transaction, [this, batch = send->batch](const keyvalue::kv_reply& reply) {
                    perform(m_batcher.onKvReply(batch, reply, m_time.now()));
                });
            } else if (const auto* timer = std::get_if<operations::set_batch_timer>(&action)) {
                m_time.after(timer->at - m_time.now(), [this] { perform(m_batcher.onTimer(m_time.now())); });
            } else {
                const auto& deliver = std::get<operations::deliver_reply>(action);
                replies[deliver.owner] = deliver.reply;
                onReply(deliver.owner);
            }
        }
    }

    virtual_time& m_time;
    fake_kv& m_kv;
    operations::operation_batcher m_batcher;
};

/// Platform writes per payment (a claim and an answer), and the payments per second at 300 writes per second.
double writesPerPayment(double paymentsPerSecond, unsigned nodes, utils::duration window, unsigned seconds)
{
    operations::batch_settings settings;
    settings.window = window;
    virtual_time time;
    fake_kv kv(time);
    std::vector<std::unique_ptr<batcher_bench>> benches;
    for (unsigned node = 0; node < nodes; ++node)
        benches.push_back(std::make_unique<batcher_bench>(time, kv, settings));
    std::mt19937 random(7);
    std::exponential_distribution<double> gap(paymentsPerSecond);
    std::uniform_int_distribution<unsigned> pick(0, nodes - 1);
    const auto total = static_cast<unsigned>(paymentsPerSecond * seconds);
    for (unsigned payment = 0; payment < total; ++payment) {
        time.advance(utils::fromSeconds(gap(random)));
        batcher_bench& bench = *benches[pick(random)];
        const std::string key = "operations/" + std::to_string(payment);
        bench.submit(payment, write(key, 0, "claim"));
        time.after(50ms, [&bench, &kv, key, payment, total] {
            if (const keyvalue::kv_entry* entry = kv.find(key))
                bench.submit(total + payment, write(key, entry->modRevision, "answer"), true);
        });
    }
    time.advance(1s);
    std::size_t answered = 0;
    for (const auto& bench : benches)
        answered += bench->replies.size();
    BOOST_TEST(answered == 2UL * total);
    return static_cast<double>(kv.writes()) / total;
}

} // namespace

BOOST_AUTO_TEST_SUITE(batches)

BOOST_AUTO_TEST_CASE(an_items_failed_compare_does_not_fail_the_others)
{
    // Three payments share a transaction and the key of the second is already taken. The second must get the
    // existing entry as its reply, and the claims of the other two must still be written.
    virtual_time time;
    fake_kv kv(time);
    kv.apply(write("b", 0, "taken"));
    batcher_bench bench(time, kv);
    bench.submit(1, write("a", 0, "claim"));
    bench.submit(2, write("b", 0, "claim"));
    bench.submit(3, write("c", 0, "claim"));
    time.advance(1s);
    BOOST_REQUIRE(bench.replies.size() == 3U);
    BOOST_TEST(bench.replies[1].succeeded);
    BOOST_TEST(!bench.replies[2].succeeded);
    BOOST_TEST(bench.replies[2].entries.at(0).value == "taken");
    BOOST_TEST(bench.replies[3].succeeded);
    BOOST_TEST(kv.find("a")->modRevision == bench.replies[1].revision);
    BOOST_TEST(kv.calls() == 3U);
}

BOOST_AUTO_TEST_CASE(a_lost_answer_is_unknown_to_each_item)
{
    virtual_time time;
    fake_kv kv(time);
    kv.fate = [](const auto&) { return kv_fate::AnswerLost; };
    batcher_bench bench(time, kv);
    bench.submit(1, write("a", 0, "claim"));
    bench.submit(2, write("b", 0, "claim"));
    time.advance(1s);
    BOOST_TEST((bench.replies.at(1).status == keyvalue::kv_status::Unknown));
    BOOST_TEST((bench.replies.at(2).status == keyvalue::kv_status::Unknown));
}

BOOST_AUTO_TEST_CASE(two_writes_of_one_key_never_share_a_transaction)
{
    virtual_time time;
    fake_kv kv(time);
    batcher_bench bench(time, kv);
    bench.submit(1, write("a", 0, "first"));
    bench.submit(2, write("a", 0, "second"));
    time.advance(1s);
    BOOST_TEST(bench.replies.at(1).succeeded);
    BOOST_TEST(!bench.replies.at(2).succeeded);
    BOOST_TEST(kv.find("a")->value == "first");
}

BOOST_AUTO_TEST_CASE(a_slow_platform_leaves_the_queue_bounded)
{
    // The platform does not answer while payments keep arriving. Items that exceed the queue limit must get
    // NotSent immediately, so that their callers get not_run instead of waiting.
    virtual_time time;
    fake_kv kv(time);
    kv.fate = [](const auto&) { return kv_fate::RequestLost; };
    operations::batch_settings settings;
    settings.maxQueued = 10;
    settings.maxEntries = 5;
    batcher_bench bench(time, kv, settings);
    for (std::uint64_t owner = 0; owner < 100; ++owner)
        bench.submit(owner, write("key" + std::to_string(owner), 0, "claim"));
    std::size_t refused = 0;
    for (const auto& [owner, reply] : bench.replies)
        refused += reply.status == keyvalue::kv_status::NotSent ? 1 : 0;
    BOOST_TEST(refused == 70U);
    time.advance(10s);
    BOOST_TEST(bench.replies.size() == 100U);
}

BOOST_AUTO_TEST_CASE(writes_per_payment_by_number_of_nodes)
{
    // Payments beyond the platform's write capacity are refused. Payments spread over many nodes seldom share
    // a batch; payments forwarded to a few nodes do.
    std::cout << "window ms  payments/s  nodes  writes/payment  writes/s\n";
    const auto measure = [](std::chrono::milliseconds window, double rate, unsigned nodes) {
        const double writes = writesPerPayment(rate, nodes, window, 10);
        std::cout << std::setw(9) << window.count() << std::setw(12) << rate << std::setw(7) << nodes
                  << std::setw(16) << std::setprecision(3) << writes << std::setw(10)
                  << std::lround(writes * rate) << '\n';
        return writes;
    };
    for (const auto window : { 2ms, 5ms, 10ms }) {
        for (const double rate : { 50.0, 150.0, 360.0, 1800.0 }) {
            for (const unsigned nodes : { 4U, 7U, 50U, 400U })
                measure(window, rate, nodes);
        }
    }
    BOOST_TEST(measure(5ms, 150, 400) > 1.5);
    BOOST_TEST(measure(5ms, 360, 4) < 1.0);
}

BOOST_AUTO_TEST_SUITE_END()
