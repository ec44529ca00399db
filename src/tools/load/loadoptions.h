#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <vector>

namespace load {

/// What the command line asks for.
struct load_options {
    std::vector<std::string> nodes; ///< "ip:port" of the daemons
    std::vector<std::string> ledgers; ///< "ip:port" of the services' ledgers
    std::string apiKey;
    std::string model;
    std::string lookupPath;
    std::string paymentPath;
    std::string bookingPath;
    double rate = 20; ///< requests a second
    double seconds = 10;
    std::array<double, 5> mix { 0.5, 0.25, 0.1, 0.1, 0.05 }; ///< shares of request_kind's kinds
    double repeats = 0.3; ///< share of keyed requests sent again to another node
    std::size_t chats = 50; ///< that return
    std::size_t tokens = 16;
    std::size_t maxInFlight = 500;
    double timeout = 30; ///< seconds
    double draftTimeout = 60; ///< seconds in which an accepted draft must be answered
    unsigned seed = 1;
};

} // namespace load
