#pragma once

#include "document.h"

#include <string>
#include <vector>

namespace config {

/// Something that does not fit together in a document whose fields are each well formed.
struct document_fault {
    std::string path; ///< the field, as in problem::path
    std::string message;
};

/// What no single section shows: references to sections that do not exist, names and keys used twice,
/// limits that cannot hold together. Empty for a document that may come into force. Thread safe.
std::vector<document_fault> checkDocument(const document& whole);

} // namespace config
