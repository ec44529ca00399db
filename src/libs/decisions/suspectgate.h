#pragma once

#include "utils/time.h"

#include <cstdint>
#include <map>

namespace decisions {

/// Lets one request at a time of this node go on with a suspect part of a prompt.
///
/// Load: requests with a part that crashes servers come several at a time, among sound requests with parts
/// that are suspect by chance. Whoever goes first shows which of the two it is, at the price of one server at
/// most. Not thread safe.
class suspect_gate {
public:
    /// Most answers begin within this time; then the next request may go on beside a slow one.
    static constexpr utils::duration turn = std::chrono::seconds(1);

    /// Whether the request may go on with the part now, which then is taken until leave(). True again for the
    /// request that has it.
    bool tryEnter(std::uint64_t part, std::uint64_t request, utils::time_point now);
    /// Frees what the request has, if anything.
    void leave(std::uint64_t request);

private:
    struct holder {
        std::uint64_t request = 0;
        utils::time_point since {};
    };
    std::map<std::uint64_t, holder> m_holders; ///< by part
};

} // namespace decisions
