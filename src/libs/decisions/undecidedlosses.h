#pragma once

#include "crashingparts.h"
#include "serverrests.h"

#include "utils/time.h"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <set>
#include <utility>
#include <vector>

namespace decisions {

/// Keeps the losses of attempts for which it is not known whether their server ended, until something tells.
///
/// Load: a small service whose servers crash one after the other. To a node that finds two of three servers
/// closed this looks like the loss of its own path, and so does the reverse. A loss that is dropped lets the
/// request which ended the server go on; a loss that counts convicts requests of a node whose path is cut.
/// `Loss`: what the caller wants back when it is known. Not thread safe.
template <class Loss> class undecided_losses {
public:
    /// The end of a server becomes known within this time: its entry lapses, or a peer has seen it.
    static constexpr utils::duration lifetime = std::chrono::seconds(15);
    /// The oldest are dropped first.
    static constexpr std::size_t maxLosses = 4096;

    /// Records a loss at that process.
    void add(const server_process& server, Loss loss, utils::time_point now)
    {
        m_losses.push_back({ server, crashKey(server.id.str(), server.startedAtMs), now, std::move(loss) });
        if (m_losses.size() > maxLosses)
            m_losses.pop_front();
    }
    /// The process has ended. Returns its losses, oldest first, and forgets them.
    std::vector<Loss> takeEnded(crash_key crash)
    {
        std::vector<Loss> ended;
        std::erase_if(m_losses, [&](entry& candidate) {
            const bool isOfCrash = candidate.crash == crash;
            if (isOfCrash)
                ended.push_back(std::move(candidate.loss));
            return isOfCrash;
        });
        return ended;
    }
    /// The server has sent something since: it did not end.
    void serverLives(const utils::server_id& server)
    {
        std::erase_if(m_losses, [&](const entry& candidate) { return candidate.server.id == server; });
    }
    /// The processes with losses, in the order of their first loss.
    std::vector<server_process> servers() const
    {
        std::vector<server_process> found;
        std::set<crash_key> seen;
        for (const entry& loss : m_losses) {
            if (seen.insert(loss.crash).second)
                found.push_back(loss.server);
        }
        return found;
    }
    void expire(utils::time_point now)
    {
        std::erase_if(m_losses, [&](const entry& loss) { return now - loss.at > lifetime; });
    }
    std::size_t size() const { return m_losses.size(); }
    bool isEmpty() const { return m_losses.empty(); }

private:
    struct entry {
        server_process server;
        crash_key crash = 0;
        utils::time_point at {};
        Loss loss;
    };

    std::deque<entry> m_losses;
};

} // namespace decisions
