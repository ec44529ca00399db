#include "explainclient.h"

#include "platform/cataloguecodec.h"
#include "platform/nodesettings.h"
#include "platform/requestcodec.h"
#include "platform/storeclient.h"

#include "gateway/node.h"

#include "wire/task.h"

#include "utils/eventlog.h"
#include "utils/processfailure.h"
#include "utils/result.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

DEFINE_string(settings, "", "path of the settings file; default: from the environment");
DEFINE_int32(metrics_port, 0, "port that serves the metrics; 0: none");
DEFINE_string(explain, "",
    "asks a running node where a request would go now, without sending it, and exits; e.g. "
    "host=a.example&path=/chat/1&workspace=print-shop&prompt=a1:8000,b2:300&hint=200");
DEFINE_string(node, "", "ip:port of the metrics of the node that --explain asks");
DEFINE_bool(json, false, "--explain answers in JSON");
DEFINE_bool(check, false, "check the settings, log any error, and exit");

namespace {

using gateway_node
    = gateway::node<platform::request_codec, platform::catalogue_codec, platform::store_client>;

constexpr int usageExitCode = 2;
constexpr int listenExitCode = 3;
constexpr int maxPort = 65535;

std::string settingsPath()
{
    if (!FLAGS_settings.empty())
        return FLAGS_settings;
    const char* path = std::getenv(platform::settingsVariable);
    return path == nullptr ? std::string() : std::string(path);
}

std::optional<gateway::node_options> readSettings(const std::string& path)
{
    return utils::valueOr(
        [&]() -> utils::result<std::optional<gateway::node_options>> {
            BOOST_LEAF_AUTO(options, platform::readSettings(path));
            return std::optional(options);
        },
        [&](const utils::failure& failure) -> std::optional<gateway::node_options> {
            utils::logEvent(utils::event::SettingsInvalid, { { "detail", failure.detail } });
            return std::nullopt;
        });
}

/// Checks the settings file on SIGHUP. Changes take effect at the next start, errors are logged at once.
void checkSettingsOnSignal(boost::asio::signal_set& signals, const std::string& path)
{
    signals.async_wait([&signals, path](const boost::system::error_code& error, int) {
        if (error)
            return;
        if (readSettings(path))
            utils::logEvent(utils::event::SettingsRead, { { "path", path } });
        checkSettingsOnSignal(signals, path);
    });
}

int run(gateway::node_options options, const std::string& path)
{
    options.metricsPort = static_cast<std::uint16_t>(FLAGS_metrics_port);
    boost::asio::io_context io(1);
    gateway_node node(io.get_executor(), options);
    boost::asio::signal_set reloadSignals(io, SIGHUP);
    checkSettingsOnSignal(reloadSignals, path);
    boost::asio::signal_set stopSignals(io, SIGTERM, SIGINT);
    stopSignals.async_wait([&](const boost::system::error_code& error, int) {
        if (error)
            return;
        utils::logEvent(utils::event::Stopping, { { "node", options.name } });
        node.stop([&] { io.stop(); });
    });
    try {
        node.start();
    } catch (const boost::system::system_error& problem) {
        utils::logEvent(utils::event::ListenFailed, { { "detail", problem.what() } });
        return listenExitCode;
    }
    utils::logEvent(utils::event::Started, { { "node", options.name } });
    wire::runEventLoop(io);
    utils::logEvent(utils::event::Stopped, { { "node", options.name } });
    utils::flushLog();
    // Requests still in progress refer to the node from within the event loop, so that neither can be
    // destroyed before the other.
    std::quick_exit(EXIT_SUCCESS);
}

} // namespace

int main(int argc, char** argv)
{
    // Until the signal is handled: a reload right after the start must not end the process.
    std::signal(SIGHUP, SIG_IGN);
    std::signal(SIGPIPE, SIG_IGN);
    gflags::SetUsageMessage("gateway node for the users' platform");
    gflags::SetVersionString("0.2.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    utils::configureLog(utils::log_format::Json, utils::severity::Info);
    utils::reportProcessFailures();
    if (argc > 1 || FLAGS_metrics_port < 0 || FLAGS_metrics_port > maxPort) {
        std::cerr << "unknown argument or port out of range; see --help\n";
        return usageExitCode;
    }
    if (!FLAGS_explain.empty())
        return explainAt(FLAGS_node, FLAGS_explain, FLAGS_json);
    const std::string path = settingsPath();
    if (path.empty()) {
        std::cerr << "no settings: pass --settings or set " << platform::settingsVariable << '\n';
        return usageExitCode;
    }
    const auto options = readSettings(path);
    if (!options) {
        utils::flushLog();
        return usageExitCode;
    }
    const int status = FLAGS_check ? EXIT_SUCCESS : run(*options, path);
    utils::flushLog();
    return status;
}
