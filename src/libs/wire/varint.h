#pragma once

#include <cstdint>
#include <stdexcept>

namespace wire {

/// An unsigned number in as few bytes as it needs (seven bits a byte): most numbers of a datagram are
/// small, and at 2 KB/s a node eight bytes for each are too many.
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
        while (rest > lowBits) {
            archive(static_cast<std::uint8_t>((rest & lowBits) | moreFlag));
            rest >>= bitsPerByte;
        }
        archive(static_cast<std::uint8_t>(rest));
    }

    /// Throws std::out_of_range when the bytes do not end within 64 bits.
    template <class Archive> void load(Archive& archive)
    {
        value = 0;
        for (unsigned shift = 0; shift < bits; shift += bitsPerByte) {
            std::uint8_t byte = 0;
            archive(byte);
            value |= (byte & lowBits) << shift;
            if ((byte & moreFlag) == 0)
                return;
        }
        throw std::out_of_range("varint");
    }

private:
    static constexpr unsigned bits = 64;
    static constexpr unsigned bitsPerByte = 7;
    static constexpr std::uint64_t lowBits = 0x7f;
    static constexpr std::uint8_t moreFlag = 0x80;
};

} // namespace wire
