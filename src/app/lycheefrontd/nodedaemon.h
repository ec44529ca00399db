#pragma once

#include "config/settings.h"

#include <memory>

/// One node: owns the parts, starts them in order, and leaves without cutting off a request.
class node_daemon {
public:
    explicit node_daemon(config::settings settings);
    ~node_daemon();
    node_daemon(const node_daemon&) = delete;
    node_daemon& operator=(const node_daemon&) = delete;

    /// Runs until the node has left. The exit code: 0, or 1 when it could not start.
    int run();

private:
    struct data;
    std::unique_ptr<data> d;
};
