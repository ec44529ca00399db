#pragma once

#include <string>

/// A loopback address for a node's listeners that this test process alone uses; `index` tells its nodes
/// apart. Outgoing connections start at 127.0.0.1 and take ports there: a node that listened there could find
/// the port taken that was free when the test chose it, and end.
std::string nodeAddress(std::size_t index);

/// A port of that address free for TCP and UDP, another one each time. Nodes must know each other's before
/// they start, so port 0 will not do. The system draws at random from those not bound: of a thousand asked
/// for in a row 79 came a second time.
unsigned short freePort(const std::string& address);

/// The first of two ports in a row that are free in the same way.
unsigned short freePortPair(const std::string& address);
