#pragma once

#include "config/configsnapshot.h"
#include "config/documentwriter.h"
#include "config/settings.h"

#include <string>

/// Property of the document parser for any text: it does not throw, every problem has a message, and a text
/// without problems has a canonical form that parses to the same document.
inline bool holdsForDocument(const std::string& text)
{
    const config::parsed_document parsed = config::parseDocument(text, "f");
    for (const config::problem& p : parsed.problems) {
        if (p.message.empty() || p.line < 0)
            return false;
    }
    if (!parsed.problems.empty())
        return true;
    const std::string canonical = config::toYaml(parsed.value);
    const config::parsed_document again = config::parseDocument(canonical, "f");
    return again.problems.empty() && config::toYaml(again.value) == canonical;
}

/// Property of the decoders of settings, heads, buckets and deltas for any text: they do not throw, and a
/// decoded value encodes to a text that decodes to the same value.
inline bool holdsForStoredText(const std::string& text)
{
    (void)config::parseSettings(text, "f");
    const auto head = config::decodeHead(text);
    if (head && config::decodeHead(config::encode(*head)) != head)
        return false;
    const auto bucket = config::decodeBucket(text);
    if (bucket && config::decodeBucket(config::encode(*bucket)) != bucket)
        return false;
    const auto delta = config::decodeDelta(text);
    // No delta, whatever its source, may bring a configuration into force that its head does not name.
    if (delta)
        (void)config::applyDelta(config::config_snapshot(), *delta);
    return true;
}
