#include "refusal.h"

#include "utils/hashing.h"

namespace decisions {

utils::duration spreadRetryAfter(utils::duration base, utils::duration window, std::uint64_t hash)
{
    const double fraction = utils::toUnitInterval(utils::combineHashes(hash, 0x52657472794166ULL));
    return base + utils::fromSeconds(utils::toSeconds(window) * fraction);
}

} // namespace decisions
