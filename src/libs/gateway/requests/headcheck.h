#pragma once

#include <string_view>

namespace gateway {

/// A fault in the head of a request.
enum class head_fault {
    None,
    BareLineEnd, ///< a CR or LF that is not part of CRLF
    FoldedLine, ///< a header that continues on the next line
    DoubledHeader, ///< Host, Content-Length or Transfer-Encoding occurs twice
    TwoLengths, ///< both Content-Length and Transfer-Encoding
    BadName, ///< a header line without a colon, or with an invalid character in its name
    NoHost,
    Count_
};

/// Returns the name used in logs. Thread safe.
std::string_view toString(head_fault fault);

/// Rejects heads that two parsers may read differently. `head` includes the empty line at its end. This
/// prevents request smuggling: this node would read one request and the backend server two, and the second
/// would run for a caller that never sent it. Forwarded heads are rebuilt from the parsed fields, so a head
/// that passes this check cannot be split there. Thread safe.
head_fault checkHead(std::string_view head);

} // namespace gateway
