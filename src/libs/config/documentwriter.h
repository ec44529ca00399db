#pragma once

#include "documentparser.h"

namespace config {

/// The document as canonical YAML: sections and fields in a fixed order, each field written, so that two
/// equal documents have equal texts. parseDocument reads it back. Thread safe.
std::string toYaml(const document& whole);

/// The canonical text of each section. Thread safe.
section_texts toSections(const document& whole);

} // namespace config
