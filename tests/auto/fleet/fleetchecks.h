#pragma once

#include "virtualfleet/virtualfleet.h"

#include <algorithm>
#include <vector>

namespace fleetchecks {

using virtualfleet::virtual_fleet;

/// Servers for tests, spread over the data centres.
inline std::vector<fleet::homed_server> servers(std::size_t count, std::size_t dataCentres = 3)
{
    std::vector<fleet::homed_server> list;
    for (std::size_t i = 0; i < count; ++i) {
        list.push_back({ utils::server_id("engine-" + std::to_string(i)),
            utils::data_centre_id("dc-" + std::to_string(i % dataCentres)) });
    }
    return list;
}

/// Whether every node at work is current.
inline bool areAllCurrent(const virtual_fleet& fleet)
{
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (fleet.isAtWork(i) && !fleet.node(i).isCurrent(fleet.now()))
            return false;
    }
    return true;
}

/// Whether every node at work takes exactly the nodes at work for possible homes.
inline bool doAllAgree(const virtual_fleet& fleet)
{
    std::size_t atWork = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i)
        atWork += fleet.isAtWork(i) ? 1 : 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (fleet.isAtWork(i) && fleet.node(i).homes().candidates().size() != atWork)
            return false;
    }
    return true;
}

/// The parts of that server's cap that all nodes at work may use together now.
inline double shareSum(const virtual_fleet& fleet, const utils::server_id& server)
{
    double sum = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i)
        sum += fleet.isAtWork(i) ? fleet.node(i).shareOf(server, fleet.now()) : 0;
    return sum;
}

/// The largest sum over all servers.
inline double largestShareSum(const virtual_fleet& fleet, const std::vector<fleet::homed_server>& servers)
{
    double largest = 0;
    for (const fleet::homed_server& server : servers)
        largest = std::max(largest, shareSum(fleet, server.id));
    return largest;
}

/// The smallest sum over all servers.
inline double smallestShareSum(const virtual_fleet& fleet, const std::vector<fleet::homed_server>& servers)
{
    double smallest = 2;
    for (const fleet::homed_server& server : servers)
        smallest = std::min(smallest, shareSum(fleet, server.id));
    return smallest;
}

/// Whether all nodes at work have at least that revision in force.
inline bool isInForce(const virtual_fleet& fleet, utils::config_revision revision)
{
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (fleet.isAtWork(i) && fleet.node(i).spread().inForce() < revision)
            return false;
    }
    return true;
}

/// Rounding of sums of fractions.
constexpr double tolerance = 1e-9;

} // namespace fleetchecks
