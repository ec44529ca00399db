#include "engine.h"
#include "enginecontrol.h"

#include <gflags/gflags.h>

#include <iostream>
#include <sstream>

DEFINE_uint32(port, 0, "port on 127.0.0.1; 0 picks one");
DEFINE_uint32(control_port, 0, "control port on 127.0.0.1; 0 picks one");
DEFINE_string(name, "engine", "name in answers");
DEFINE_string(models, "quill-8b", "models served, separated by commas");
DEFINE_uint32(slots, 8, "requests run at once");
DEFINE_uint32(token_us, 2000, "time for each token");
DEFINE_uint32(prefill_us, 200, "time for each prompt block that is not cached");
DEFINE_uint32(cache_blocks, 20000, "blocks of 64 bytes that the prefix cache holds");
DEFINE_uint32(load_lag_ms, 500, "age of the reported load");
DEFINE_bool(ignores_fencing, false, "take orders with an old fencing number");
DEFINE_string(crash_on, "", "a prompt with this text ends the process");

namespace {

std::set<std::string> splitCommas(const std::string& text)
{
    std::set<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, ',');)
        parts.insert(part);
    return parts;
}

} // namespace

int main(int argc, char** argv)
{
    using namespace standins_common;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    engine_settings settings;
    settings.name = FLAGS_name;
    settings.models = splitCommas(FLAGS_models);
    settings.slots = FLAGS_slots;
    settings.perToken = std::chrono::microseconds(FLAGS_token_us);
    settings.prefillPerBlock = std::chrono::microseconds(FLAGS_prefill_us);
    settings.loadLag = std::chrono::milliseconds(FLAGS_load_lag_ms);
    settings.refusesOldFencing = !FLAGS_ignores_fencing;
    settings.crashOn = FLAGS_crash_on;
    boost::asio::io_context context(1);
    engine instance(settings, FLAGS_cache_blocks);
    const auto port = listenHttp(context, static_cast<unsigned short>(FLAGS_port),
        [&](http_request& request, tcp_socket& socket) { return instance.serve(request, socket); });
    const auto control = listenHttp(context, static_cast<unsigned short>(FLAGS_control_port),
        [&](http_request& request, tcp_socket& socket) { return serveControl(instance, request, socket); });
    std::cout << "listening " << port << " control " << control << std::endl;
    context.run();
    return 0;
}
