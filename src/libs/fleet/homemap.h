#pragma once

#include "utils/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace fleet {

/// A node that may be a home.
struct home_candidate {
    utils::node_id id;
    utils::data_centre_id dataCentre;

    bool operator==(const home_candidate&) const = default;
};

/// Which node is the home of a backend server or of a calling team: rendezvous hashing over the live
/// members, so that a node that joins or leaves moves only its own share, and nodes with the same view
/// agree without a message. A server's home is in the server's data centre while a node there lives, so
/// that its streams cross between data centres once. Immutable, so it may be shared between threads.
class home_map {
public:
    home_map() = default;
    explicit home_map(std::vector<home_candidate> candidates);

    /// The home, or nothing when nobody lives. Thread safe.
    std::optional<utils::node_id> homeOf(
        const utils::server_id& server, const utils::data_centre_id& dataCentre) const;
    /// The home of a calling team's limits, over the whole region. Thread safe.
    std::optional<utils::node_id> homeOf(const utils::team_id& team) const;
    /// The first `count` of `candidates` in the order in which they would be the server's home. Thread safe.
    static std::vector<utils::node_id> ranking(std::span<const home_candidate> candidates,
        const utils::server_id& server, const utils::data_centre_id& dataCentre, std::size_t count);
    /// Whether `first` comes before `second` for that server in every view. Thread safe.
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
