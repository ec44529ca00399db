#pragma once

#include "virtualfleet/virtualfleet.h"

#include <algorithm>
#include <vector>

namespace fleetchecks {

using virtualfleet::virtual_fleet;

/// Returns `count` servers, spread over the data centres.
inline std::vector<fleet::homed_server> servers(std::size_t count, std::size_t dataCentres = 3)
{
    std::vector<fleet::homed_server> list;
    for (std::size_t i = 0; i < count; ++i) {
        list.push_back({ utils::server_id("engine-" + std::to_string(i)),
            utils::data_centre_id("dc-" + std::to_string(i % dataCentres)) });
    }
    return list;
}

/// Returns whether every running node is current.
inline bool areAllCurrent(const virtual_fleet& fleet)
{
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (fleet.isAtWork(i) && !fleet.node(i).isCurrent(fleet.now()))
            return false;
    }
    return true;
}

/// Returns whether every running node has as many home candidates as there are running nodes.
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

/// Returns the sum of the shares of a server's cap that all running nodes may use now.
inline double shareSum(const virtual_fleet& fleet, const utils::server_id& server)
{
    double sum = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i)
        sum += fleet.isAtWork(i) ? fleet.node(i).shareOf(server, fleet.now()) : 0;
    return sum;
}

/// Returns the largest shareSum() of all servers.
inline double largestShareSum(const virtual_fleet& fleet, const std::vector<fleet::homed_server>& servers)
{
    double largest = 0;
    for (const fleet::homed_server& server : servers)
        largest = std::max(largest, shareSum(fleet, server.id));
    return largest;
}

/// Returns the smallest shareSum() of all servers.
inline double smallestShareSum(const virtual_fleet& fleet, const std::vector<fleet::homed_server>& servers)
{
    double smallest = 2;
    for (const fleet::homed_server& server : servers)
        smallest = std::min(smallest, shareSum(fleet, server.id));
    return smallest;
}

/// Returns whether all running nodes have at least `revision` in force.
inline bool isInForce(const virtual_fleet& fleet, utils::config_revision revision)
{
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (fleet.isAtWork(i) && fleet.node(i).spread().inForce() < revision)
            return false;
    }
    return true;
}

/// Tolerance for rounding errors in sums of fractions.
constexpr double tolerance = 1e-9;

} // namespace fleetchecks
