#pragma once

#include "utils/time.h"

#include <string>
#include <vector>

namespace ctl {

enum class output_format {
    Table,
    Json,
    Yaml
};

/// What the command line asks for.
struct options {
    std::string command;
    std::vector<std::string> arguments;
    std::vector<std::string> endpoints; ///< "ip:port"
    std::string keyFile;
    output_format output = output_format::Table;
    utils::duration timeout = std::chrono::seconds(30);
    std::string base;
    bool overwrites = false;
    std::string deletes;
    bool isUndo = false;
    std::string changeId;
};

} // namespace ctl
