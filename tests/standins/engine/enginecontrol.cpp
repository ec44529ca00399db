#include "enginecontrol.h"

#include <boost/json.hpp>

namespace {

namespace json = boost::json;
using namespace standins_common;

template <class Duration> void setDuration(const json::object& order, std::string_view name, Duration& target)
{
    if (const json::value* value = order.if_contains(name); value != nullptr)
        target = Duration(value->to_number<std::int64_t>());
}

void apply(const json::object& order, engine_settings& settings)
{
    setDuration(order, "per_token_us", settings.perToken);
    setDuration(order, "prefill_us", settings.prefillPerBlock);
    setDuration(order, "load_lag_ms", settings.loadLag);
    if (const json::value* count = order.if_contains("cut_answers"); count != nullptr)
        settings.cutAnswers = count->to_number<std::int64_t>();
    if (const json::value* marker = order.if_contains("crash_on"); marker != nullptr)
        settings.crashOn = std::string(marker->as_string());
    std::chrono::milliseconds pause { 0 };
    setDuration(order, "pause_ms", pause);
    settings.pausedUntil = std::chrono::steady_clock::now() + pause;
}

} // namespace

boost::asio::awaitable<bool> serveControl(engine& target, http_request& request, tcp_socket& socket)
{
    if (request.target() == "/ledger")
        co_return co_await sendAnswer(socket, request, 200, target.ledgerJson());
    boost::system::error_code error;
    const json::value order = json::parse(request.body(), error);
    if (request.target() != "/control" || error || !order.is_object())
        co_return co_await sendAnswer(socket, request, 400, R"({"error":"POST /control with an object"})");
    apply(order.as_object(), target.settings());
    co_return co_await sendAnswer(socket, request, 200, "{}");
}
