#pragma once

#include "wire/datagram.h"

#include "utils/time.h"

#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace fleet {

/// One fact of a node, as the daemon reads it.
struct digest_fact {
    wire::node_tag origin = 0;
    std::string key;
    std::string value;
    utils::duration age {}; ///< since the origin published it, without the network's delay
};

/// Small facts that ride on the probes: load sums, home loads, strikes, usage. Per (kind, origin, key) the
/// newest version wins. Each datagram carries a bounded number of bytes: those sent least often first, so
/// that new ones go first and all others in turn. A fact that its origin does not renew within `lifetime`
/// is dropped everywhere; its age travels with it, so that it cannot live on by going round.
/// Not thread safe.
class digest_store {
public:
    /// `firstVersion` must be above those of the node's earlier processes.
    digest_store(wire::node_tag self, std::uint64_t firstVersion, utils::duration lifetime);

    /// Publishes or renews a fact of this node. Precondition: key and value are at most 64 bytes each.
    void publish(
        wire::digest_kind kind, const std::string& key, const std::string& value, utils::time_point now);
    /// Takes what came with a datagram.
    void merge(const std::vector<wire::digest_entry>& entries, utils::time_point now);
    /// What the next datagram carries, within `bytes`.
    std::vector<wire::digest_entry> take(std::size_t bytes, utils::time_point now);
    /// Every known fact of a kind, this node's included.
    std::vector<digest_fact> facts(wire::digest_kind kind, utils::time_point now) const;
    /// Facts known.
    std::size_t size() const { return m_facts.size(); }

    static constexpr std::size_t maxTextLength = 64;

private:
    using fact_key = std::tuple<wire::digest_kind, wire::node_tag, std::string>;
    struct fact {
        std::uint64_t version = 0;
        std::string value;
        utils::time_point bornAt;
        std::uint64_t sentTurn = 0; ///< when it was last sent; 0: never
    };

    void dropOld(utils::time_point now);

    wire::node_tag m_self;
    std::uint64_t m_version;
    utils::duration m_lifetime;
    std::map<fact_key, fact> m_facts;
    std::uint64_t m_turn = 0;
};

} // namespace fleet
