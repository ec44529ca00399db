#pragma once

#include "gateway/eventscanner.h"
#include "gateway/headcheck.h"
#include "gateway/peermessages.h"
#include "platform/configdecoder.h"
#include "platform/serverdecoder.h"
#include "platform/storemessages.h"

#include <string>
#include <string_view>

/// Any bytes from a peer: never an exception, and what is taken is written back so that it reads the same.
inline bool holdsForPeerBytes(std::string_view bytes)
{
    const auto beat = gateway::decodeHeartbeat(bytes);
    if (beat
        && gateway::encodeHeartbeat(*gateway::decodeHeartbeat(gateway::encodeHeartbeat(*beat)))
            != gateway::encodeHeartbeat(*beat))
        return false;
    const auto view = gateway::decodeView(bytes);
    if (view
        && gateway::encodeView(*gateway::decodeView(gateway::encodeView(*view)))
            != gateway::encodeView(*view))
        return false;
    (void)gateway::decodeRequest(bytes);
    return true;
}

/// Any bytes from the store: never an exception, and what is refused says why.
inline bool holdsForStoreBytes(std::string_view bytes)
{
    bool isExplained = true;
    const auto explained = [&isExplained](const utils::failure& failure) {
        isExplained = isExplained && !failure.detail.empty();
        return false;
    };
    utils::valueOr(
        [&]() -> utils::result<bool> {
            BOOST_LEAF_AUTO(configuration, platform::decodeConfiguration(bytes));
            return configuration != nullptr;
        },
        explained);
    utils::valueOr(
        [&]() -> utils::result<bool> {
            BOOST_LEAF_AUTO(server, platform::decodeServer("i-1", bytes, 1));
            return !server.address.empty();
        },
        explained);
    (void)platform::decodeRange(bytes);
    (void)platform::decodeChanges(bytes);
    return isExplained;
}

/// Any bytes as a stream of events: what goes on does not depend on how the bytes were cut on their way, and
/// is made of whole events.
inline bool holdsForEventBytes(std::string_view bytes)
{
    gateway::event_scanner atOnce;
    const std::string whole = atOnce.take(bytes);
    gateway::event_scanner byByte;
    std::string passed;
    for (const char byte : bytes)
        passed += byByte.take(std::string_view(&byte, 1));
    if (passed != whole || atOnce.count() != byByte.count() || atOnce.fault() != byByte.fault())
        return false;
    return whole.empty() || whole.ends_with("\n\n");
}

/// Any bytes as the head of a request: never an exception, and no head passes that another parser may read as
/// two lines where this one reads one.
inline bool holdsForHead(std::string_view bytes)
{
    if (gateway::checkHead(bytes) != gateway::head_fault::None)
        return true;
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        const bool isPaired = bytes[i] != '\n' || (i > 0 && bytes[i - 1] == '\r');
        if (!isPaired || bytes[i] == '\0')
            return false;
    }
    return true;
}
