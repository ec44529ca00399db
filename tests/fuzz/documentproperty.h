#pragma once

#include "config/configsnapshot.h"
#include "config/documentwriter.h"
#include "config/settings.h"

#include <string>

/// What must hold for any text that reaches the reader of documents: it never throws, every problem says
/// something, and a text without problems gives a canonical text that reads back as the same document.
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

/// Any text as settings, head, list of sections or delta: never an exception, and what is taken is written
/// back so that it reads the same.
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
    // A delta from anywhere must not bring a configuration into force that its head does not name.
    if (delta)
        (void)config::applyDelta(config::config_snapshot(), *delta);
    return true;
}
