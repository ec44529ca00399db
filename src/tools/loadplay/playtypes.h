#pragma once

#include "decisions/fairqueue.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace loadplay {

constexpr std::size_t classes = static_cast<std::size_t>(decisions::priority_class::Count_);

/// One caller's request.
struct play_request {
    utils::time_point at;
    utils::team_id team;
    decisions::priority_class priority = decisions::priority_class::Chat;
    utils::duration work {}; ///< slot time that it takes on a healthy server
    utils::duration expectedWork {}; ///< what the router knows: the class's mean
    utils::duration patience = std::chrono::hours(48); ///< then the caller gives up
};

/// A time in which one server is slower.
struct slow_spell {
    std::size_t server = 0;
    utils::time_point from;
    utils::time_point until;
    double factor = 1;
};

/// Requests and servers of one pattern of load.
struct workload {
    std::string name;
    std::string description;
    std::vector<play_request> requests;
    std::size_t servers = 1;
    unsigned slots = 32; ///< of each server
    std::vector<slow_spell> slow;
    utils::duration length = std::chrono::seconds(120); ///< in which requests arrive
};

/// Which safeguards are on.
struct play_safeguards {
    bool isFair = true;
    bool isClassed = true;
    bool sheds = true;
    bool ejects = true;
    bool hedges = true;

    static play_safeguards none() { return { false, false, false, false, false }; }
};

/// What the callers of one class got.
struct class_outcome {
    std::size_t offered = 0;
    std::size_t served = 0; ///< at the first call
    std::size_t later = 0; ///< after coming back when told to
    std::size_t refused = 0; ///< told no, and no again
    std::size_t gaveUp = 0; ///< waited, left without an answer
    std::vector<double> waits; ///< seconds from the call to the start of the run, of all served
    std::vector<double> refusedAfter; ///< seconds from the call to the "no"
};

/// What the callers of one team got.
struct team_outcome {
    double offeredWork = 0; ///< slot seconds
    double servedWork = 0;
};

/// What all callers got.
struct play_outcome {
    std::array<class_outcome, classes> byClass;
    std::map<utils::team_id, team_outcome> byTeam;
    double wastedWork = 0; ///< slot seconds run for callers who left
    std::size_t hedged = 0;
};

} // namespace loadplay
