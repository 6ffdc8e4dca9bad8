//! Writes messages.

/// Writes a message: its first line, its headers and a body of known length.
pub fn write<'a>(
    first: &str,
    headers: impl IntoIterator<Item = (&'a str, &'a str)>,
    body: Option<&[u8]>,
) -> Vec<u8> {
    let mut out = Vec::with_capacity(512 + body.map_or(0, <[u8]>::len));
    out.extend_from_slice(first.as_bytes());
    out.extend_from_slice(b"\r\n");
    for (name, value) in headers {
        for part in [name, ": ", value, "\r\n"] {
            out.extend_from_slice(part.as_bytes());
        }
    }
    if let Some(body) = body {
        out.extend_from_slice(format!("content-length: {}\r\n", body.len()).as_bytes());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body.unwrap_or_default());
    out
}
