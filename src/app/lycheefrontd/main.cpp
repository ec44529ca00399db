#include "nodedaemon.h"

#include "utils/eventlog.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(settings, "", "settings of this process, a YAML file (docs/CONFIGURATION.md)");
DEFINE_bool(check, false, "check the settings and exit");

namespace {

constexpr int exitInvalid = 2;

int runDaemon(const config::settings& settings)
{
    try {
        node_daemon node(settings);
        return node.run();
    } catch (const std::exception& e) {
        utils::logEvent(utils::event::SettingsInvalid, { { "error", e.what() } });
        return exitInvalid;
    }
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("a node of lycheefront\n\n  lycheefrontd --settings node.yaml\n");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_settings.empty()) {
        std::cerr << "lycheefrontd: --settings FILE is required; see --help\n";
        return exitInvalid;
    }
    const config::parsed_settings parsed = config::loadSettings(FLAGS_settings);
    for (const config::problem& problem : parsed.problems)
        std::cerr << config::toString(problem) << '\n';
    if (!parsed.problems.empty())
        return exitInvalid;
    if (FLAGS_check)
        return 0;
    utils::configureLog(parsed.value.log.format, parsed.value.log.level);
    return runDaemon(parsed.value);
}
