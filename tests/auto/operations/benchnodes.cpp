#include "benchnodes.h"

#include <algorithm>
#include <utility>

void bench_nodes::pause(std::size_t node)
{
    m_nodes.at(node).isPaused = m_nodes.at(node).isUp;
}

void bench_nodes::resume(std::size_t node)
{
    m_nodes.at(node).isPaused = false;
    const std::uint64_t boot = m_nodes.at(node).boot;
    // A callback may pause or kill the node again.
    for (const auto& callback : std::exchange(m_nodes.at(node).deferredCallbacks, {}))
        deliver(node, boot, callback);
}

void bench_nodes::resumeNewestFirst(std::size_t node)
{
    std::ranges::reverse(m_nodes.at(node).deferredCallbacks);
    resume(node);
}

void bench_nodes::kill(std::size_t node)
{
    node_state& at = m_nodes.at(node);
    at.isUp = false;
    at.isPaused = false;
    at.deferredCallbacks.clear();
}

void bench_nodes::restart(std::size_t node)
{
    node_state& at = m_nodes.at(node);
    if (at.isUp)
        return;
    at.isUp = true;
    ++at.boot;
}

void bench_nodes::deliver(std::size_t node, std::uint64_t boot, const std::function<void()>& callback)
{
    node_state& at = m_nodes.at(node);
    if (!at.isUp || at.boot != boot)
        return;
    if (at.isPaused)
        at.deferredCallbacks.push_back(callback);
    else
        callback();
}
