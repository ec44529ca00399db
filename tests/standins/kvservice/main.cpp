#include "kvserver.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

// NOLINTBEGIN: gflags names flags and writes their objects.
DEFINE_int32(port, 0, "port on loopback; 0 picks one");
DEFINE_int32(control_port, 0, "port on loopback for faults and counters; 0 picks one");
// NOLINTEND

/// Prints "listening PORT" and "control PORT", then serves until SIGINT or SIGTERM.
int main(int argc, char** argv)
{
    gflags::SetUsageMessage("stand-in for the platform's key-value service, in memory, on loopback\n"
                            "  standin-kv --port 2379 --control_port 2380");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        boost::asio::io_context context(1);
        kvstandin::kv_server server(context.get_executor(), static_cast<std::uint16_t>(FLAGS_port),
            static_cast<std::uint16_t>(FLAGS_control_port));
        std::cout << "listening " << server.port() << "\ncontrol " << server.controlPort() << std::endl;
        boost::asio::signal_set signals(context, SIGINT, SIGTERM);
        signals.async_wait([&](const boost::system::error_code&, int) { context.stop(); });
        context.run();
    } catch (const std::exception& e) {
        std::cerr << "standin-kv: " << e.what() << '\n';
        return 1;
    }
    return 0;
}
