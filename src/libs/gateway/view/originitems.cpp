#include "originitems.h"

#include <boost/endian/conversion.hpp>

#include <array>

namespace gateway {

namespace {

constexpr std::size_t numberBytes = sizeof(std::uint64_t);
constexpr std::size_t originBytes = 2 * numberBytes; // stream and version, big endian

void append(std::string& bytes, std::uint64_t number)
{
    std::array<unsigned char, numberBytes> encoded {};
    boost::endian::store_big_u64(encoded.data(), number);
    bytes.append(encoded.begin(), encoded.end());
}

std::uint64_t numberAt(std::string_view bytes)
{
    return boost::endian::load_big_u64(reinterpret_cast<const unsigned char*>(bytes.data()));
}

} // namespace

std::string encodeOrigins(const std::vector<decisions::stream_origin>& origins)
{
    std::string bytes;
    bytes.reserve(origins.size() * originBytes);
    for (const decisions::stream_origin& origin : origins) {
        append(bytes, origin.stream);
        append(bytes, origin.version);
    }
    return bytes;
}

std::vector<decisions::stream_origin> decodeOrigins(std::string_view bytes)
{
    std::vector<decisions::stream_origin> origins;
    for (; bytes.size() >= originBytes; bytes.remove_prefix(originBytes)) {
        const decisions::stream_origin origin { numberAt(bytes), numberAt(bytes.substr(numberBytes)) };
        if (origin.version != 0)
            origins.push_back(origin);
    }
    return origins;
}

} // namespace gateway
