//! Serializes heads and bodies.

use std::io::Write;

/// Appends a request line. Spaces and control characters, which would end the target, are percent-encoded.
pub fn request_line(out: &mut Vec<u8>, method: &str, target: &str) {
    out.extend_from_slice(method.as_bytes());
    out.push(b' ');
    let mut rest = target.as_bytes();
    while let Some(at) = rest.iter().position(|it| *it == b' ' || it.is_ascii_control()) {
        out.extend_from_slice(&rest[..at]);
        let _ = write!(out, "%{:02X}", rest[at]);
        rest = &rest[at + 1..];
    }
    out.extend_from_slice(rest);
    out.extend_from_slice(b" HTTP/1.1\r\n");
}

/// Appends a status line.
pub fn status_line(out: &mut Vec<u8>, status: u16) {
    // Writing to a vector can't fail.
    let _ = write!(out, "HTTP/1.1 {status} {}\r\n", reason_phrase(status));
}

/// Appends a header field. Line ends and NUL in its value become spaces, as RFC 9110 (section 5.5) allows.
pub fn field(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    let start = out.len();
    out.extend_from_slice(value);
    for it in &mut out[start..] {
        if matches!(*it, b'\r' | b'\n' | b'\0') {
            *it = b' ';
        }
    }
    out.extend_from_slice(b"\r\n");
}

/// Whether a header field can have this value, so that it is read as it was written.
pub fn is_field_value(text: &str) -> bool {
    !text.is_empty() && text.trim() == text && !text.bytes().any(|it| it.is_ascii_control())
}

/// Appends a header field whose value is a number.
pub fn number_field(out: &mut Vec<u8>, name: &str, value: u64) {
    let _ = write!(out, "{name}: {value}\r\n");
}

/// Appends the empty line that ends the head.
pub fn end_head(out: &mut Vec<u8>) {
    out.extend_from_slice(b"\r\n");
}

/// Appends a chunk. Empty `bytes` are skipped, since an empty chunk would end the body.
pub fn chunk(out: &mut Vec<u8>, bytes: &[u8]) {
    if bytes.is_empty() {
        return;
    }
    let _ = write!(out, "{:x}\r\n", bytes.len());
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
}

/// The last chunk, which ends a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// A complete response. `extra`: further header fields.
pub fn response(status: u16, content_type: &str, body: &[u8], extra: &[(&str, String)]) -> Vec<u8> {
    let mut out = Vec::with_capacity(192 + body.len());
    status_line(&mut out, status);
    field(&mut out, "Content-Type", content_type.as_bytes());
    number_field(&mut out, "Content-Length", body.len() as u64);
    for (name, value) in extra {
        field(&mut out, name, value.as_bytes());
    }
    end_head(&mut out);
    out.extend_from_slice(body);
    out
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        304 => "Not Modified",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        _ => "Status",
    }
}
