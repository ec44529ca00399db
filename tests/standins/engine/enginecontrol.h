#pragma once

#include "engine.h"

/// The control port: POST /control with any of {"pause_ms", "per_token_us", "prefill_us", "cut_answers",
/// "crash_on", "load_lag_ms"}; GET /ledger.
boost::asio::awaitable<bool> serveControl(
    engine& target, standins_common::http_request& request, standins_common::tcp_socket& socket);
