//! The head of a message: its start line and its headers (RFC 9112, sections 2 to 5).

use super::ParseError;

/// Maximum number of headers in a message.
pub(super) const MAX_HEADERS: usize = 100;

/// Headers that are never forwarded, whether or not `Connection` lists them: those that apply to
/// one connection only (RFC 9110, section 7.6.1), `Content-Length`, which the proxy writes itself,
/// and `Expect`, which the proxy answers.
const NEVER_FORWARDED: [&str; 10] = [
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

/// The kind of message that a parser reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MessageKind {
    Request,
    Response,
}

/// The start line of a message. Its `Debug` form appears in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Start {
    /// A request line.
    Request {
        /// The method, as received.
        method: String,
        /// The request target in origin form: it begins with `/`.
        target: String,
    },
    /// A status line; its reason phrase is dropped.
    Response {
        /// The status, three digits.
        status: u16,
    },
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Header {
    /// The name, in lower case.
    name: String,
    /// The value, without surrounding white space.
    value: String,
}

/// The start line and the headers of a message, the headers in the order of their receipt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// The start line: a request line or a status line.
    pub start: Start,
    headers: Vec<Header>,
    /// Whether the connection may carry another message after this one.
    pub keep_alive: bool,
}

impl Head {
    /// Parses a head. `bytes` ends with the CRLF of the last line and lacks the empty line after
    /// it.
    ///
    /// # Errors
    ///
    /// [`ParseError::Malformed`] if the head breaks the grammar or an HTTP/1.1 request does not
    /// have exactly one `Host`, [`ParseError::UnsupportedVersion`] for a version other than
    /// HTTP/1.0 and HTTP/1.1, and [`ParseError::HeadTooLarge`] for more than [`MAX_HEADERS`]
    /// headers.
    pub(super) fn parse(bytes: &[u8], kind: MessageKind) -> Result<Head, ParseError> {
        let text = std::str::from_utf8(bytes).map_err(|_| ParseError::Malformed)?;
        let mut lines = text.split_terminator("\r\n");
        if lines.clone().any(has_control_character) {
            return Err(ParseError::Malformed);
        }
        let start_line = StartLine::parse(lines.next().unwrap_or_default(), kind)?;
        let mut head = Head {
            start: start_line.start,
            headers: parse_headers(lines)?,
            keep_alive: false,
        };
        head.keep_alive = head.allows_reuse(start_line.version);
        let needs_host = kind == MessageKind::Request && start_line.version == Version::Http11;
        if needs_host && head.unique("host")?.is_none() {
            return Err(ParseError::Malformed);
        }
        Ok(head)
    }

    /// The value of a header that may occur only once; `None` if it is absent. `name` is in lower
    /// case.
    ///
    /// # Errors
    ///
    /// [`ParseError::Malformed`] if the header occurs more than once.
    pub fn unique(&self, name: &str) -> Result<Option<&str>, ParseError> {
        let mut values = self.values(name);
        let first = values.next();
        if values.next().is_some() {
            return Err(ParseError::Malformed);
        }
        Ok(first)
    }

    /// Whether the client waits for `100 Continue` before it sends its body.
    pub fn expects_continue(&self) -> bool {
        self.has_token("expect", "100-continue")
    }

    /// Whether the body of a parsed message consists of chunks: the parser accepts no other
    /// transfer coding.
    pub fn is_chunked(&self) -> bool {
        self.values("transfer-encoding").next().is_some()
    }

    /// Names, in lower case, and values of the headers that the proxy forwards: all except
    /// [`NEVER_FORWARDED`] and those that `Connection` lists.
    pub fn end_to_end_headers(&self) -> impl Iterator<Item = (&str, &str)> {
        self.headers
            .iter()
            .filter(|header| self.is_end_to_end(header))
            .map(|header| (header.name.as_str(), header.value.as_str()))
    }

    fn is_end_to_end(&self, header: &Header) -> bool {
        !NEVER_FORWARDED.contains(&header.name.as_str())
            && !self.has_token("connection", &header.name)
    }

    fn allows_reuse(&self, version: Version) -> bool {
        if self.has_token("connection", "close") {
            false
        } else {
            version == Version::Http11 || self.has_token("connection", "keep-alive")
        }
    }

    fn values<'a>(&'a self, name: &str) -> impl Iterator<Item = &'a str> {
        self.headers
            .iter()
            .filter(move |header| header.name == name)
            .map(|header| header.value.as_str())
    }

    /// Whether the comma-separated list in the header `name` contains `token`, ignoring case.
    fn has_token(&self, name: &str, token: &str) -> bool {
        self.values(name)
            .flat_map(|value| value.split(','))
            .any(|item| item.trim().eq_ignore_ascii_case(token))
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Version {
    Http10,
    Http11,
}

impl Version {
    fn parse(text: &str) -> Result<Version, ParseError> {
        match text {
            "HTTP/1.1" => Ok(Version::Http11),
            "HTTP/1.0" => Ok(Version::Http10),
            other if other.starts_with("HTTP/") => Err(ParseError::UnsupportedVersion),
            _ => Err(ParseError::Malformed),
        }
    }
}

pub(super) struct StartLine {
    start: Start,
    version: Version,
}

impl StartLine {
    pub(super) fn parse(line: &str, kind: MessageKind) -> Result<StartLine, ParseError> {
        match kind {
            MessageKind::Request => StartLine::parse_request_line(line),
            MessageKind::Response => StartLine::parse_status_line(line),
        }
    }

    fn parse_request_line(line: &str) -> Result<StartLine, ParseError> {
        let mut parts = line.splitn(3, ' ');
        let mut part = || parts.next().unwrap_or_default();
        let (method, target, version) = (part(), part(), part());
        if !is_token(method) || !target.starts_with('/') || version.contains(' ') {
            return Err(ParseError::Malformed);
        }
        let start = Start::Request {
            method: method.into(),
            target: target.into(),
        };
        let version = Version::parse(version)?;
        Ok(StartLine { start, version })
    }

    fn parse_status_line(line: &str) -> Result<StartLine, ParseError> {
        let mut parts = line.splitn(3, ' ');
        let mut part = || parts.next().unwrap_or_default();
        let (version, status) = (part(), part());
        if status.len() != 3 || !status.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(ParseError::Malformed);
        }
        let status = status.parse().map_err(|_| ParseError::Malformed)?;
        let version = Version::parse(version)?;
        Ok(StartLine {
            start: Start::Response { status },
            version,
        })
    }
}

fn parse_headers<'a>(lines: impl Iterator<Item = &'a str>) -> Result<Vec<Header>, ParseError> {
    let mut headers = Vec::new();
    for line in lines {
        let header = parse_header(line)?;
        if headers.len() == MAX_HEADERS {
            return Err(ParseError::HeadTooLarge);
        }
        headers.push(header);
    }
    Ok(headers)
}

pub(super) fn parse_header(line: &str) -> Result<Header, ParseError> {
    // Requiring a token also rejects folded lines and white space before the colon.
    let (name, value) = line
        .split_once(':')
        .filter(|(name, _)| is_token(name))
        .ok_or(ParseError::Malformed)?;
    Ok(Header {
        name: name.to_ascii_lowercase(),
        value: value.trim_matches([' ', '\t']).to_string(),
    })
}

/// Whether the line contains a control character other than a tab. Such lines are rejected: other
/// implementations may take a lone CR or LF, for example, for the end of a line.
pub(super) fn has_control_character(line: &str) -> bool {
    line.bytes()
        .any(|byte| byte.is_ascii_control() && byte != b'\t')
}

/// Whether `text` is a token (RFC 9110, section 5.6.2).
fn is_token(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(is_token_byte)
}

fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}
