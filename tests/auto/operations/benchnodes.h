#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

/// The processes of a bench. A paused one gets what came for it when it resumes; a killed one never does, and
/// starts again with a new boot number. Not thread safe.
class bench_nodes {
public:
    explicit bench_nodes(std::size_t count)
        : m_nodes(count)
    {
    }

    std::size_t size() const { return m_nodes.size(); }
    bool isUp(std::size_t node) const { return m_nodes.at(node).isUp; }
    bool isPaused(std::size_t node) const { return m_nodes.at(node).isPaused; }
    std::uint64_t boot(std::size_t node) const { return m_nodes.at(node).boot; }

    void pause(std::size_t node);
    void resume(std::size_t node);
    /// Resumes with what came last handled first: a process that wakes may read its sockets in any order.
    void resumeNewestFirst(std::size_t node);
    void kill(std::size_t node);
    void restart(std::size_t node);
    /// Runs the callback in that process as soon as it runs, unless it has ended since `boot`.
    void deliver(std::size_t node, std::uint64_t boot, const std::function<void()>& callback);

private:
    struct node_state {
        std::uint64_t boot = 1;
        bool isUp = true;
        bool isPaused = false;
        std::vector<std::function<void()>> heldBack;
    };

    std::vector<node_state> m_nodes;
};
