#pragma once

#include <cstdint>
#include <stdexcept>

namespace wire {

/// An unsigned integer in variable-length encoding with seven bits per byte. Most numbers in a datagram are
/// small, and at 2 KB/s per node eight bytes for each are too many.
struct varint {
    std::uint64_t value = 0;

    bool operator==(const varint&) const = default;

    /// Bytes on the wire. Thread safe.
    std::size_t size() const
    {
        std::size_t count = 1;
        for (std::uint64_t rest = value >> bitsPerByte; rest != 0; rest >>= bitsPerByte)
            ++count;
        return count;
    }

    template <class Archive> void save(Archive& archive) const
    {
        std::uint64_t rest = value;
        while (rest > payloadMask) {
            archive(static_cast<std::uint8_t>((rest & payloadMask) | continuationBit));
            rest >>= bitsPerByte;
        }
        archive(static_cast<std::uint8_t>(rest));
    }

    /// Throws std::out_of_range when the encoding exceeds 64 bits.
    template <class Archive> void load(Archive& archive)
    {
        value = 0;
        for (unsigned shift = 0; shift < bits; shift += bitsPerByte) {
            std::uint8_t byte = 0;
            archive(byte);
            value |= (byte & payloadMask) << shift;
            if ((byte & continuationBit) == 0)
                return;
        }
        throw std::out_of_range("varint");
    }

private:
    static constexpr unsigned bits = 64;
    static constexpr unsigned bitsPerByte = 7;
    static constexpr std::uint64_t payloadMask = 0x7f;
    static constexpr std::uint8_t continuationBit = 0x80;
};

} // namespace wire
