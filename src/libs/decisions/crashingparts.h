#pragma once

#include "poisonregister.h"
#include "prefixindex.h"
#include "recentanswers.h"

#include "utils/time.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace decisions {

/// Identifies the crash of a server: the same on all nodes.
using crash_key = std::uint32_t;

/// Thread safe.
crash_key crashKey(std::string_view server, std::uint64_t startedAtMs);
/// Identifies a service in a part_strike. Thread safe.
std::uint32_t serviceKey(std::string_view service);

/// What may crash servers about a request: the shared parts of its prompt, and the whole request, which its
/// caller may repeat, as one part more. At most `maxSuspects`: a caller that lists thousands of parts must
/// not cost more than any other. No part of a prompt has the id of a whole request. Thread safe.
std::vector<prompt_part> suspectsOf(std::span<const prompt_part> sharedParts, const body_digest& request);
/// Maximum number of suspects of a request.
inline constexpr std::size_t maxSuspects = 32;
/// Whether an id from suspectsOf() stands for a whole request. Thread safe.
bool isWholeRequest(std::uint64_t suspect);

/// A crash of a server that was about to answer a request with that part in its prompt. Sent to peers.
struct part_strike {
    std::uint64_t part = 0;
    crash_key crash = 0;
    std::uint32_t service = 0;
    /// Length of the chain of crashes that ends with this one: the request of each was sent after the crash
    /// before, and no answer with the part had begun in between.
    std::uint8_t level = 1;
    /// The other shared part of the request that is the most suspect, which may have caused the crash
    /// instead; 0: the part was alone.
    std::uint64_t companion = 0;
    bool isCleared = false; ///< an answer with the part began after the crash
    std::uint32_t ageMs = 0; ///< when sent

    template <class Archive> void serialize(Archive& archive)
    {
        archive(part, crash, service, level, companion, isCleared, ageMs);
    }
};

/// What is known of the parts of a prompt.
enum class part_verdict : std::uint8_t {
    Sound,
    Suspect, ///< crashes followed each other: a few requests at a time, on one server
    OnTrial, ///< refused for its term; one node sends a single request to find out whether it still crashes
    Crashing, ///< refused
    Count_
};

/// Name for logs. Thread safe.
std::string_view toString(part_verdict verdict);

/// The verdict on a prompt, and the part that decided it.
struct part_finding {
    part_verdict verdict = part_verdict::Sound;
    std::uint64_t part = 0;
    unsigned level = 0; ///< of the part, see part_strike::level
    utils::duration age {}; ///< since the last crash was recorded here
    utils::duration termOverFor {}; ///< OnTrial: time since the end of the term
    bool isOwn = false; ///< this node saw the last crash itself
    bool isKnown = false; ///< an answer with the part has begun on this node lately
};

/// Settings of crashing_parts.
struct crashing_part_limits {
    unsigned suspectLevel = 2; ///< from this level on a part is suspect
    unsigned crashingLevel = 3; ///< from this level on a part is refused
    /// The same for a part with which an answer began on this node within `memory`.
    unsigned crashingLevelOfKnown = 5;
    utils::duration memory = std::chrono::seconds(60);
    /// Time for which a part is refused before it is tried again; longer by `termGrowth` with each trial that
    /// ends a server.
    utils::duration firstTerm = std::chrono::seconds(60);
    /// The same for a whole request that was answered on this node within `memory`.
    utils::duration firstTermOfKnown = std::chrono::seconds(5);
    unsigned termGrowth = 8;
    utils::duration lifetime = std::chrono::minutes(10); ///< of a strike that does not convict
    utils::duration convictionLifetime = std::chrono::hours(6); ///< of the others
    /// 120 bytes each; the cleared ones, then those of the lowest level, then the oldest are dropped first.
    std::size_t maxStrikes = 8192;
    std::size_t maxAnswered = 4096; ///< parts that answers began with, in each of two generations
};

/// Finds the parts of prompts, and the requests, that crash the servers which begin to answer them,
/// fleet-wide. A whole request counts as one more part of its prompt, see suspectsOf().
///
/// Load: each request with a certain part crashes its server, whatever else it holds, and no two of these
/// requests are alike; or one request is sent again and again. Other requests, hundreds of them, are under
/// way at each crash, and share all other parts. A crash counts against every suspect of each request that
/// had no answer yet. It counts for nothing once an answer with the part begins, on any node: parts in use
/// clear themselves within moments. What convicts is a chain of crashes, each of a request that was sent
/// after the crash before; so many servers that fail at once make one link only, and requests beside a crash
/// drop out with the next. News of crashes may come in any order: a node that learns of an earlier crash
/// makes its own later ones links of the chain. From the second link on the part is suspect: its requests go
/// to one server, the same for all nodes, one at a time from each node.
/// Where two parts were in all requests of a chain and answers have begun with one of them lately, the other
/// is at fault: requests with it are refused, those with the first alone are suspect until an answer clears
/// it. A whole request that was answered lately is tried again soon: it may have been under way at the
/// crashes of several others. Not thread safe.
class crashing_parts {
public:
    explicit crashing_parts(const crashing_part_limits& limits = {})
        : m_limits(limits)
        , m_answered(limits.memory, limits.maxAnswered)
    {
    }

    /// Records a crash with a request under way that had no answer yet. `parts`: its suspects. `now`: when
    /// the loss was seen, which may be a while ago. Returns the highest level among them.
    unsigned crashed(std::uint32_t service, std::span<const prompt_part> parts, crash_key crash,
        utils::time_point sentAt, utils::time_point now);
    /// Records that an answer with these suspects began at `beganAt`, and that its server lives on.
    /// Returns the highest level of what was cleared; 0: nothing.
    unsigned answered(std::uint32_t service, std::span<const prompt_part> parts, utils::time_point beganAt,
        utils::time_point now);
    /// Returns the worst finding on these suspects. Of two alike, the one on the part that is not known:
    /// it is more likely to be at fault, and keeps requests with it apart from sound ones that share the
    /// other.
    part_finding check(std::span<const prompt_part> parts, utils::time_point now) const;

    /// Returns the strikes that peers have not been sent often enough: the highest level first, then those
    /// that were sent least, then the latest.
    std::vector<part_strike> takeNews(std::size_t limit, utils::time_point now);
    /// Returns the strikes that make parts suspect or refused, for a peer that has just started.
    std::vector<part_strike> standing(std::size_t limit, utils::time_point now) const;
    /// Takes strikes from a peer.
    void merge(std::span<const part_strike> strikes, utils::time_point now);
    /// Drops what has expired, and marks convictions to be sent again. Call it periodically.
    void expire(utils::time_point now);

    /// Takes the record in the store, at that revision of the store; nothing if it was removed. Older ones
    /// are ignored.
    void applyRecord(const std::optional<std::string>& record, std::uint64_t revision, utils::time_point now);
    /// Returns the text of the record that the store should hold; nothing if it names the same parts. It
    /// lists the parts that are refused.
    std::optional<std::string> missingRecord(utils::time_point now) const;
    /// Revision of the store at the last change of the record that was taken; 0: there was none.
    std::uint64_t recordRevision() const { return m_revision; }
    /// Whether there is a record.
    bool hasRecord() const { return m_hasRecord; }

    std::size_t size() const { return m_strikes.size(); }
    /// Number of parts that are refused.
    std::size_t refused(utils::time_point now) const;

private:
    struct strike_key {
        std::uint64_t part = 0;
        crash_key crash = 0;
        std::uint8_t level = 1;
        bool operator<(const strike_key& other) const
        {
            return std::tie(part, crash, level) < std::tie(other.part, other.crash, other.level);
        }
    };
    struct strike_state {
        std::uint32_t service = 0;
        std::uint64_t companion = 0;
        utils::time_point at {}; ///< of the crash, as far as known here
        utils::time_point learnedAt {};
        bool isCleared = false;
        bool isOwn = false;
        unsigned sendsLeft = 0;
        utils::time_point sentAt {}; ///< of the request, the latest if there are several; of own strikes
    };
    using strike_map = std::map<strike_key, strike_state>;

    strike_map::const_iterator firstOf(std::uint64_t part) const
    {
        return m_strikes.lower_bound({ part, 0, 0 });
    }
    static std::span<const prompt_part> considered(std::span<const prompt_part> parts)
    {
        return parts.first(std::min(parts.size(), maxSuspects));
    }
    /// A crash of a request that was sent at `sentAt`, with that prompt.
    struct crash_context {
        crash_key crash = 0;
        std::span<const prompt_part> prompt;
        utils::time_point sentAt {};
    };
    /// Highest level of the part's strikes from before the request was sent, without the excused ones.
    unsigned levelBefore(std::uint64_t part, const crash_context& crash, utils::time_point now) const;
    /// Makes own strikes of the part links of the chains that have become known since.
    void relink(std::uint64_t part, utils::time_point now);
    /// Whether an answer with the part began after that time.
    bool isAnsweredSince(std::uint64_t part, std::uint32_t service, utils::time_point since) const;
    part_finding findingOn(
        std::uint64_t part, std::span<const prompt_part> prompt, utils::time_point now) const;
    /// Whether the companion may have caused the crashes, and is not in the prompt.
    bool isExplained(
        std::uint64_t companion, std::span<const prompt_part> prompt, utils::time_point now) const;
    /// Whether a strike does not count against a part: answers have begun with it, and none with its
    /// companion.
    bool isExcused(std::uint64_t part, const strike_state& strike, std::span<const prompt_part> prompt,
        utils::time_point now) const;
    /// Highest level of the part's strikes.
    unsigned levelOf(std::uint64_t part, utils::time_point now) const;
    /// The part of `prompt` other than `part` that is the most suspect; 0: there is none.
    std::uint64_t companionOf(
        std::uint64_t part, std::span<const prompt_part> prompt, utils::time_point now) const;
    bool isKnown(std::uint64_t part, std::uint32_t service, utils::time_point now) const;
    /// How long the part is refused since its last crash.
    utils::duration termOf(std::uint64_t part, bool isKnown, utils::time_point now) const;
    utils::time_point expiryOf(const strike_key& key, const strike_state& strike) const;
    part_strike toMessage(const strike_key& key, const strike_state& strike, utils::time_point now) const;
    /// Makes room if there are too many strikes.
    void dropLeast();
    /// What the record says of a part.
    struct recorded_part {
        unsigned level = 0;
        std::uint64_t companion = 0;
    };
    using record_map = std::map<std::uint64_t, recorded_part>; ///< by part

    static std::string encodeRecord(const record_map& parts);
    /// Lines that cannot be read are skipped.
    static record_map decodeRecord(std::string_view text);
    record_map recordedParts(utils::time_point now) const;

    // A server needs longer to come back, and then to crash again under the same key.
    static constexpr utils::duration sameCrashWindow = std::chrono::seconds(3);
    // A datagram may be lost, and in a large fleet reaches a few peers only.
    static constexpr unsigned newsRepeats = 3;
    static constexpr utils::duration convictionRepeatInterval = std::chrono::seconds(1);
    static constexpr unsigned maxLevel = 8;
    // Of strikes from the record, which names neither.
    static constexpr std::uint32_t anyService = 0;
    static constexpr crash_key recordedCrash = 0;

    crashing_part_limits m_limits;
    strike_map m_strikes;
    bool m_hasNews = false; ///< takeNews() may return something
    recent_answers m_answered; ///< by the hash of part and service
    utils::time_point m_repeatedAt {};
    record_map m_record; ///< as in the store
    std::uint64_t m_revision = 0;
    bool m_hasRecord = false;
};

} // namespace decisions
