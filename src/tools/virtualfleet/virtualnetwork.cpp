#include "virtualnetwork.h"

#include <utility>

namespace virtualfleet {

virtual_network::virtual_network(network_options options, std::uint64_t seed)
    : m_options(options)
    , m_random(seed)
{
}

void virtual_network::at(utils::time_point when, std::function<void()> event)
{
    m_events.push({ when, ++m_order, std::move(event) });
}

void virtual_network::runUntil(utils::time_point end)
{
    while (!m_events.empty() && m_events.top().when <= end) {
        const scheduled next = m_events.top();
        m_events.pop();
        m_now = std::max(m_now, next.when);
        next.event();
    }
    m_now = std::max(m_now, end);
}

void virtual_network::setCut(const utils::node_id& from, const utils::node_id& to, bool isCut)
{
    if (isCut)
        m_cuts.emplace(from, to);
    else
        m_cuts.erase({ from, to });
}

void virtual_network::split(const std::vector<std::vector<utils::node_id>>& islands)
{
    m_cuts.clear();
    for (const auto& island : islands) {
        for (const auto& other : islands) {
            if (&island == &other)
                continue;
            for (const utils::node_id& from : island) {
                for (const utils::node_id& to : other)
                    m_cuts.emplace(from, to);
            }
        }
    }
}

bool virtual_network::isCut(const utils::node_id& from, const utils::node_id& to) const
{
    return m_cuts.contains({ from, to });
}

std::optional<utils::duration> virtual_network::delay(
    const utils::node_id& from, const utils::node_id& to, bool isSameDataCentre)
{
    if (isCut(from, to))
        return {};
    if (std::uniform_real_distribution<double>(0, 1)(m_random) < m_options.loss)
        return {};
    const utils::duration base = isSameDataCentre ? m_options.nearDelay : m_options.farDelay;
    const auto jitter = static_cast<std::uint64_t>(m_options.jitter.count());
    return base + utils::duration(m_random() % (jitter + 1));
}

} // namespace virtualfleet
