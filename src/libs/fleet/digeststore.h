#pragma once

#include "wire/datagram.h"

#include "utils/time.h"

#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace fleet {

/// A fact published by a node.
struct digest_fact {
    wire::node_tag origin = 0;
    std::string key;
    std::string value;
    utils::duration age {}; ///< time since publication by the origin, excluding network delay
};

/// Small facts piggybacked on probes: load sums, home loads, strikes, usage. The newest version of each
/// (kind, origin, key) wins. Each datagram carries a bounded number of bytes; the least recently sent facts
/// are chosen, so new facts go first and the others take turns. A fact that its origin does not renew within
/// `lifetime` expires on every node: its age is sent with it, so that passing it on does not renew it.
/// Not thread safe.
class digest_store {
public:
    /// Precondition: `firstVersion` is above all versions used by earlier processes of the node.
    digest_store(wire::node_tag self, std::uint64_t firstVersion, utils::duration lifetime);

    /// Publishes or renews a fact of this node. Precondition: key and value are at most 64 bytes each.
    void publish(
        wire::digest_kind kind, const std::string& key, const std::string& value, utils::time_point now);
    /// Merges the entries received in a datagram.
    void merge(const std::vector<wire::digest_entry>& entries, utils::time_point now);
    /// Returns the entries for the next datagram, at most `bytes` in total.
    std::vector<wire::digest_entry> take(std::size_t bytes, utils::time_point now);
    /// Returns all unexpired facts of a kind, including this node's.
    std::vector<digest_fact> facts(wire::digest_kind kind, utils::time_point now) const;
    /// Returns the number of facts stored.
    std::size_t size() const { return m_facts.size(); }

    static constexpr std::size_t maxTextLength = 64;

private:
    using fact_key = std::tuple<wire::digest_kind, wire::node_tag, std::string>;
    struct fact {
        std::uint64_t version = 0;
        std::string value;
        utils::time_point publishedAt;
        std::uint64_t lastSentTurn = 0; ///< value of m_turn when last sent; 0 means never
    };

    void dropExpired(utils::time_point now);

    wire::node_tag m_self;
    std::uint64_t m_version;
    utils::duration m_lifetime;
    std::map<fact_key, fact> m_facts;
    std::uint64_t m_turn = 0;
};

} // namespace fleet
