#pragma once

#include "documentparser.h"

namespace config {

/// The document as canonical YAML: sections and fields in a fixed order, each field written, so that two
/// equal documents have equal texts. parseDocument reads it back. Thread safe.
std::string toYaml(const document& whole);

/// The canonical text of one section. Thread safe.
std::string sectionText(const operator_entry& entry);
std::string sectionText(const calling_team& team);
std::string sectionText(const server_pool& pool);

/// The canonical text of each section. Thread safe.
section_texts toSections(const document& whole);

} // namespace config
