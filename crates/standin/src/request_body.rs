//! Bodies of requests: their length and framing, and their content, by which a backend can tell
//! whether it got a body unchanged.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::random::RandomSource;

/// Maximum length of a drawn body, in bytes: the longest that the protocol allows.
const MAX_BYTES: usize = 64 * 1024;
/// Lengths of the chunks of drawn bodies, in bytes.
const CHUNK_BYTES: [usize; 4] = [7, 100, 2_048, 20_000];

/// How the end of a body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By a `Content-Length`.
    Length,
    /// By the last of several chunks, each of at most this many bytes.
    Chunked {
        /// Maximum length of a chunk, in bytes.
        chunk_bytes: usize,
    },
}

/// The form of a request's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestBody {
    /// Length of the body, in bytes.
    pub length: usize,
    /// How the end of the body is marked.
    pub framing: Framing,
    /// Whether the request has `Expect: 100-continue`. The body is sent at once all the same.
    pub expects_continue: bool,
}

impl RequestBody {
    /// A short body with a `Content-Length`.
    pub const SHORT: RequestBody = RequestBody {
        length: 4,
        framing: Framing::Length,
        expects_continue: false,
    };

    /// Draws a form; all lengths up to the longest are equally likely.
    pub fn draw(random: &mut RandomSource) -> RequestBody {
        let length = 1 + random.integer_below(MAX_BYTES);
        let chunk_bytes = random.choose(&CHUNK_BYTES);
        let framing = random.choose(&[Framing::Length, Framing::Chunked { chunk_bytes }]);
        RequestBody {
            length,
            framing,
            expects_continue: random.choose(&[false, true]),
        }
    }

    /// The body of the request with this ID.
    pub(crate) fn encode(self, txn: &str) -> EncodedBody {
        EncodedBody {
            rest: content(txn, self.length),
            chunk_bytes: match self.framing {
                Framing::Length => None,
                Framing::Chunked { chunk_bytes } => Some(chunk_bytes),
            },
        }
    }
}

/// The content of a body of this length in the request with this ID.
pub(crate) fn content(txn: &str, length: usize) -> Bytes {
    txn.bytes().cycle().take(length).collect()
}

/// A body that is sent as it is, or in chunks.
pub(crate) struct EncodedBody {
    rest: Bytes,
    /// Maximum length of a chunk, in bytes; `None` if the body has a `Content-Length`.
    chunk_bytes: Option<usize>,
}

impl EncodedBody {
    /// No body.
    pub(crate) fn empty() -> EncodedBody {
        EncodedBody {
            rest: Bytes::new(),
            chunk_bytes: None,
        }
    }
}

impl Body for EncodedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.chunk_bytes.unwrap_or(usize::MAX).min(self.rest.len());
        let chunk = self.rest.split_to(length);
        Poll::Ready(Some(Ok(Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        match self.chunk_bytes {
            None => SizeHint::with_exact(self.rest.len() as u64),
            Some(_) => SizeHint::default(),
        }
    }
}
