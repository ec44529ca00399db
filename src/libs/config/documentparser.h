#pragma once

#include "document.h"
#include "problem.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace config {

/// A document and all that is wrong with it; only a document without problems may come into force.
struct parsed_document {
    document value;
    std::vector<problem> problems;
};

/// Canonical YAML texts by section name ("teams/counter-app", "pools/press", "operators/admin").
using section_texts = std::map<std::string, std::string>;

/// Reads the whole document and checks it: schema, unknown fields, references. Every problem is listed
/// with its place. Never throws on any text. Thread safe.
parsed_document parseDocument(const std::string& yaml, const std::string& file);

/// Reads the document without the checks across sections: for a file that holds only some of them.
/// Thread safe.
parsed_document parsePartialDocument(const std::string& yaml, const std::string& file);

/// Reads a document that may hold only some sections, puts them over `base` and checks the whole. Thread
/// safe.
parsed_document parseDocumentOver(const std::string& yaml, const std::string& file, const document& base);

/// Replaces one section of the document, or deletes it when there is no text. The problems of its text;
/// the checks across sections are the caller's. Thread safe.
std::vector<problem> replaceSection(
    document& whole, const std::string& name, const std::optional<std::string>& text);

/// Puts a document together from its sections and checks it as a whole; a problem's file is the
/// section's name. Thread safe.
parsed_document parseSections(const section_texts& sections, utils::config_revision revision);

} // namespace config
