#pragma once

#include "utils/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace fleet {

/// A node that can be a home.
struct home_candidate {
    utils::node_id id;
    utils::data_centre_id dataCentre;

    bool operator==(const home_candidate&) const = default;
};

/// Assigns a home node to each backend server and calling team by rendezvous hashing over the live members:
/// a node that joins or leaves moves only its own share, and nodes with the same view agree without
/// messages. A server's home is in the server's data centre while a live node exists there, so that its
/// streams cross between data centres only once. Immutable, so it can be shared between threads.
class home_map {
public:
    home_map() = default;
    explicit home_map(std::vector<home_candidate> candidates);

    /// Returns the home of a server, or nothing if there are no candidates. Thread safe.
    std::optional<utils::node_id> homeOf(
        const utils::server_id& server, const utils::data_centre_id& dataCentre) const;
    /// Returns the home of a calling team's limits, chosen from the whole region, or nothing if there are no
    /// candidates. Thread safe.
    std::optional<utils::node_id> homeOf(const utils::team_id& team) const;
    /// Returns the first `count` of `candidates` in the order of preference as the server's home. Thread
    /// safe.
    static std::vector<utils::node_id> ranking(std::span<const home_candidate> candidates,
        const utils::server_id& server, const utils::data_centre_id& dataCentre, std::size_t count);
    /// Returns whether `first` is preferred to `second` as the server's home; this is the same in every view.
    /// Thread safe.
    static bool ranksAbove(const home_candidate& first, const home_candidate& second,
        const utils::server_id& server, const utils::data_centre_id& dataCentre);

    const std::vector<home_candidate>& candidates() const { return m_candidates; }

private:
    struct hashed_candidate {
        std::uint64_t hash = 0; ///< of the node's name
        std::size_t index = 0;
    };

    utils::node_id best(const std::vector<hashed_candidate>& among, std::uint64_t itemHash) const;

    std::vector<home_candidate> m_candidates;
    std::vector<hashed_candidate> m_all;
    std::map<utils::data_centre_id, std::vector<hashed_candidate>> m_byDataCentre;
};

} // namespace fleet
