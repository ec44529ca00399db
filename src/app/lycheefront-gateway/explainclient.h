#pragma once

#include <string>

/// Asks a running node where a request would go, and prints the answer to standard output. `question`: the
/// query of a URL, see gateway::choice_question. `node`: "ip:port" of the node's metrics. Returns the exit
/// code: 0, or 2 if the question or the address is wrong, or the node does not answer; the reason is printed
/// to standard error.
int explainAt(const std::string& node, const std::string& question, bool isJson);
