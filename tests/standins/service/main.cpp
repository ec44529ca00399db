// Stand-in for a plain service (payments, job releases, bookings, lookups) with a ledger of every run.
// Faults come on the control port: POST /control with any of {"pause_ms", "slow_ms", "lose_answers",
// "cut_answers"}; GET /ledger tells every run.

#include "serviceledger.h"
#include "standins_common/httplistener.h"

#include <boost/json.hpp>
#include <gflags/gflags.h>

#include <iostream>

DEFINE_uint32(port, 0, "port on 127.0.0.1; 0 picks one");
DEFINE_uint32(control_port, 0, "control port on 127.0.0.1; 0 picks one");
DEFINE_string(name, "service", "name in answers");

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace standins_common;

struct faults {
    std::chrono::milliseconds slow { 0 };
    std::chrono::steady_clock::time_point pausedUntil;
    std::int64_t loseAnswers = 0; ///< next runs that close the connection instead of answering
    std::int64_t cutAnswers = 0; ///< next answers that stop in the middle
};

class service {
public:
    asio::awaitable<bool> serve(http_request& request, tcp_socket& socket)
    {
        co_await waitOut();
        const std::string key = keyOf(request);
        const unsigned run = m_ledger.record(key);
        if (m_faults.loseAnswers > 0) {
            --m_faults.loseAnswers;
            co_return false;
        }
        const std::string body = answerFor(request, key, run);
        if (m_faults.cutAnswers > 0) {
            --m_faults.cutAnswers;
            co_await sendBytes(socket,
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                    + std::to_string(body.size()) + "\r\n\r\n" + body.substr(0, body.size() / 2));
            co_return false;
        }
        co_return co_await sendAnswer(socket, request, 200, body);
    }

    asio::awaitable<bool> control(http_request& request, tcp_socket& socket)
    {
        if (request.target() == "/ledger")
            co_return co_await sendAnswer(socket, request, 200, m_ledger.json());
        boost::system::error_code error;
        const json::value order = json::parse(request.body(), error);
        if (request.target() != "/control" || error || !order.is_object())
            co_return co_await sendAnswer(
                socket, request, 400, R"({"error":"POST /control with an object"})");
        apply(order.as_object());
        co_return co_await sendAnswer(socket, request, 200, "{}");
    }

private:
    static std::string keyOf(const http_request& request)
    {
        const auto key = request.find("Idempotency-Key");
        if (key != request.end())
            return std::string(key->value());
        return std::string(request.method_string()) + ' ' + std::string(request.target());
    }

    static std::string answerFor(const http_request& request, const std::string& key, unsigned run)
    {
        return json::serialize(json::object { { "service", FLAGS_name }, { "key", key }, { "run", run },
            { "method", std::string(request.method_string()) }, { "target", std::string(request.target()) },
            { "echo", request.body() } });
    }

    asio::awaitable<void> waitOut()
    {
        const auto now = std::chrono::steady_clock::now();
        if (m_faults.pausedUntil > now)
            co_await pauseFor(
                std::chrono::duration_cast<std::chrono::microseconds>(m_faults.pausedUntil - now));
        if (m_faults.slow.count() > 0)
            co_await pauseFor(m_faults.slow);
    }

    void apply(const json::object& order)
    {
        const auto number = [&](std::string_view name, std::int64_t old) {
            const json::value* value = order.if_contains(name);
            return value == nullptr ? old : value->to_number<std::int64_t>();
        };
        m_faults.slow = std::chrono::milliseconds(number("slow_ms", m_faults.slow.count()));
        m_faults.loseAnswers = number("lose_answers", m_faults.loseAnswers);
        m_faults.cutAnswers = number("cut_answers", m_faults.cutAnswers);
        m_faults.pausedUntil
            = std::chrono::steady_clock::now() + std::chrono::milliseconds(number("pause_ms", 0));
    }

    service_ledger m_ledger;
    faults m_faults;
};

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    asio::io_context context(1);
    service instance;
    const auto port = listenHttp(context, static_cast<unsigned short>(FLAGS_port),
        [&](http_request& request, tcp_socket& socket) { return instance.serve(request, socket); });
    const auto control = listenHttp(context, static_cast<unsigned short>(FLAGS_control_port),
        [&](http_request& request, tcp_socket& socket) { return instance.control(request, socket); });
    std::cout << "listening " << port << " control " << control << std::endl;
    context.run();
    return 0;
}
