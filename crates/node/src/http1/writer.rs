//! Serialisation of messages.

/// Initial capacity for the start line and the headers, in bytes; enough for most messages.
const HEAD_CAPACITY: usize = 512;

/// Serialises a message: its start line, its headers, and its body with a `Content-Length`. If
/// `body` is `None`, no length is written.
pub fn write<'a>(
    start_line: &str,
    headers: impl IntoIterator<Item = (&'a str, &'a str)>,
    body: Option<&[u8]>,
) -> Vec<u8> {
    let mut message = Vec::with_capacity(HEAD_CAPACITY + body.map_or(0, <[u8]>::len));
    message.extend_from_slice(start_line.as_bytes());
    message.extend_from_slice(b"\r\n");
    for (name, value) in headers {
        for part in [name, ": ", value, "\r\n"] {
            message.extend_from_slice(part.as_bytes());
        }
    }
    if let Some(body) = body {
        message.extend_from_slice(format!("content-length: {}\r\n", body.len()).as_bytes());
    }
    message.extend_from_slice(b"\r\n");
    message.extend_from_slice(body.unwrap_or_default());
    message
}
