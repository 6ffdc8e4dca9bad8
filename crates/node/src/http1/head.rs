//! The head of a message: its first line and its headers.

use super::{MAX_HEADERS, ParseError};

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Start {
    Request { method: String, target: String },
    Response { status: u16 },
}

/// A message's head.
#[derive(Debug, Clone)]
pub struct Head {
    pub start: Start,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    /// The connection may carry another message after this one.
    pub keep_alive: bool,
}

impl Head {
    /// The value of a header that stands there once; twice is `Err`.
    pub fn unique(&self, name: &str) -> Result<Option<&str>, ParseError> {
        let mut found = self
            .headers
            .iter()
            .filter(|h| h.0 == name)
            .map(|h| h.1.as_str());
        let first = found.next();
        if found.next().is_some() {
            Err(ParseError::Malformed)
        } else {
            Ok(first)
        }
    }

    fn lists(&self, name: &str, token: &str) -> bool {
        let values = self.headers.iter().filter(|h| h.0 == name);
        values
            .flat_map(|h| h.1.split(','))
            .any(|t| t.trim().eq_ignore_ascii_case(token))
    }

    /// The client waits for leave to send its body.
    pub fn expects_continue(&self) -> bool {
        self.lists("expect", "100-continue")
    }

    /// The headers that concern both ends, not one connection.
    pub fn end_to_end_headers(&self) -> impl Iterator<Item = (&str, &str)> {
        const HOP: [&str; 10] = [
            "connection",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect",
            "proxy-authenticate",
        ];
        let passes =
            |h: &&(String, String)| !HOP.contains(&h.0.as_str()) && !self.lists("connection", &h.0);
        self.headers
            .iter()
            .filter(passes)
            .map(|h| (h.0.as_str(), h.1.as_str()))
    }
}

fn is_token(text: &str) -> bool {
    !text.is_empty()
        && text
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b))
}

pub(super) fn parse_head(bytes: &[u8], request: bool) -> Result<Head, ParseError> {
    let text = std::str::from_utf8(bytes).map_err(|_| ParseError::Malformed)?;
    // Neither a lone CR or LF nor another control character may pass: others may take it for a
    // line's end.
    let mut lines = text.split_terminator("\r\n");
    if lines
        .clone()
        .any(|line| line.bytes().any(|b| b.is_ascii_control() && b != b'\t'))
    {
        return Err(ParseError::Malformed);
    }
    let mut parts = lines.next().unwrap_or_default().splitn(3, ' ');
    let mut part = || parts.next().unwrap_or_default();
    let (first, second, third) = (part(), part(), part());
    let (start, version) = if request {
        let sound = is_token(first) && second.starts_with('/') && !third.contains(' ');
        if !sound {
            return Err(ParseError::Malformed);
        }
        (
            Start::Request {
                method: first.into(),
                target: second.into(),
            },
            third,
        )
    } else {
        let digits = second.len() == 3 && second.bytes().all(|b| b.is_ascii_digit());
        let status = second
            .parse()
            .ok()
            .filter(|_| digits)
            .ok_or(ParseError::Malformed)?;
        (Start::Response { status }, first)
    };
    let modern = match version {
        "HTTP/1.1" => true,
        "HTTP/1.0" => false,
        other if other.starts_with("HTTP/") => return Err(ParseError::UnsupportedVersion),
        _ => return Err(ParseError::Malformed),
    };
    let mut headers = Vec::new();
    for line in lines {
        // A name that isn't a token also covers folded lines and a space before the colon.
        let (name, value) = line
            .split_once(':')
            .filter(|(name, _)| is_token(name))
            .ok_or(ParseError::Malformed)?;
        if headers.len() == MAX_HEADERS {
            return Err(ParseError::HeadTooLarge);
        }
        headers.push((
            name.to_ascii_lowercase(),
            value.trim_matches([' ', '\t']).to_string(),
        ));
    }
    let mut head = Head {
        start,
        headers,
        keep_alive: modern,
    };
    if head.lists("connection", "close") {
        head.keep_alive = false;
    } else if head.lists("connection", "keep-alive") {
        head.keep_alive = true;
    }
    if request && modern && head.unique("host")?.is_none() {
        return Err(ParseError::Malformed);
    }
    Ok(head)
}
