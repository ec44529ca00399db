#include "datagram.h"

#include "utils/hashing.h"

namespace wire {

namespace {

constexpr std::size_t lengthByte = 1;

std::size_t shortSize(const std::string& text)
{
    return lengthByte + text.size();
}

} // namespace

node_tag tagOf(const utils::node_id& node)
{
    return static_cast<node_tag>(utils::hash64(node.str()));
}

std::size_t member_update::size() const
{
    return shortSize(id.str()) + sizeof(state) + sizeof(incarnation) + shortSize(address)
        + shortSize(dataCentre);
}

std::size_t digest_entry::size() const
{
    return sizeof(kind) + sizeof(origin) + version.size() + sizeof(ageSeconds) + shortSize(key)
        + shortSize(value);
}

std::size_t handover_item::size() const
{
    return sizeof(kind) + shortSize(server) + round.size() + inFlight.size();
}

} // namespace wire
