#pragma once

#include "gateway/peers/peermessages.h"
#include "gateway/requests/eventscanner.h"
#include "gateway/requests/headcheck.h"
#include "platform/configdecoder.h"
#include "platform/serverdecoder.h"
#include "platform/storemessages.h"

#include <string>
#include <string_view>

/// Property of the decoders of peer messages for any bytes: they do not throw, and a decoded message encodes
/// to bytes that decode to the same message.
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

/// Property of the decoders of store data for any bytes: they do not throw, and every failure has a detail.
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

/// Property of the event scanner for any bytes: its output does not depend on how the stream was split into
/// reads, and consists of complete events.
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

/// Property of the check of request heads for any bytes: it does not throw, and it accepts no head in which
/// another parser may see two lines where this one sees one.
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
