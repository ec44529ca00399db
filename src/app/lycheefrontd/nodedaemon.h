#pragma once

#include "config/settings.h"

#include <memory>

/// A lycheefrontd node: owns its components, starts them in order, and drains requests in progress before it
/// stops, for at most the shutdown grace period. Not thread safe.
class node_daemon {
public:
    /// Throws std::exception if a key, chart or certificate cannot be loaded or a setting is not supported.
    explicit node_daemon(config::settings settings);
    ~node_daemon();
    node_daemon(const node_daemon&) = delete;
    node_daemon& operator=(const node_daemon&) = delete;

    /// Runs until the node has left the fleet. Returns the exit code: 0, or 1 if the node could not start.
    int run();

private:
    struct data;
    std::unique_ptr<data> d;
};
