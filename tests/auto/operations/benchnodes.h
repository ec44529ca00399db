#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

/// The simulated processes of a bench. A paused process gets its deferred callbacks when it resumes; a killed
/// process loses them and restarts with a new boot number. Not thread safe.
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
    /// Resumes and runs the newest deferred callback first: a resumed process may read its sockets in any
    /// order.
    void resumeNewestFirst(std::size_t node);
    void kill(std::size_t node);
    void restart(std::size_t node);
    /// Runs the callback in the process, or when the process resumes. Dropped if the process of `boot` has
    /// ended.
    void deliver(std::size_t node, std::uint64_t boot, const std::function<void()>& callback);

private:
    struct node_state {
        std::uint64_t boot = 1;
        bool isUp = true;
        bool isPaused = false;
        std::vector<std::function<void()>> deferredCallbacks;
    };

    std::vector<node_state> m_nodes;
};
