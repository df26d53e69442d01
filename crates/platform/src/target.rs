//! Targets of calls.

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, PercentEncode, utf8_percent_encode};

/// All characters but the unreserved ones of RFC 3986.
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// Encodes a name for a path segment or a query value.
pub fn encode(name: &str) -> PercentEncode<'_> {
    utf8_percent_encode(name, ENCODED)
}
