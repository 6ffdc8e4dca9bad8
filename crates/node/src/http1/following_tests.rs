//! Unit tests of the classification of the bytes behind a request.

use super::*;

const NEXT_REQUEST: &str = "GET /api?a=b HTTP/1.1\r\nHost: a\r\nX-Txn: 2\r\n\r\n";

#[test]
fn beginning_of_another_request_is_undecided_at_every_split_until_its_head_is_complete() {
    for begin in ["", "\r\n", "\r\n\r\n"] {
        let whole = format!("{begin}{NEXT_REQUEST}");
        for length in 1..whole.len() {
            let following = Following::classify(&whole.as_bytes()[..length], true);
            assert_eq!(following, Following::Undecided, "{:?}", &whole[..length]);
        }
        let with_body = whole + "body";
        for has_body in [false, true] {
            let following = Following::classify(with_body.as_bytes(), has_body);
            assert_eq!(following, Following::Request);
        }
    }
}

#[test]
fn empty_lines_are_ignored_only_behind_a_request_without_a_body() {
    assert_eq!(Following::classify(b"", true), Following::Nothing);
    for bytes in [&b"\r\n"[..], b"\r\n\r\n"] {
        assert_eq!(Following::classify(bytes, false), Following::Nothing);
        assert_eq!(Following::classify(bytes, true), Following::Undecided);
    }
}

#[test]
fn bytes_that_begin_no_request_are_invalid_as_soon_as_that_shows() {
    let long_target = format!("GET /{}", "a".repeat(MAX_HEAD));
    for bytes in [
        &b" "[..],
        b"=",
        b"a=b",
        b"a3f09c",
        b"deadbeef0123",
        b"GETS",
        b"get /",
        b"Post",
        b"PUT /api",
        b"GET a",
        b"GET  /",
        b"GET /a b",
        b"GET /a HTTP/1.1 ",
        b"GET /a\n",
        b"GET /a\tb",
        b"\xff",
        b"\n",
        b"\r\n\n",
        b"\r\r",
        b"a b",
        b"a\r\n",
        b"a /\r\n",
        b"GET / HTTP/1.1 more\r\n",
        b"GET /\xff HTTP/1.1\r\n",
        b"PUT / HTTP/1.1\r\n",
        b"HTTP/1.1 200 OK\r\n",
        b"GET / HTTP/1.1\r\nno header\r\n",
        b"GET / HTTP/1.1\r\nHost: a\r\n folded\r\n",
        long_target.as_bytes(),
    ] {
        let following = Following::classify(bytes, false);
        assert_eq!(
            following,
            Following::Invalid,
            "{:?}",
            bytes.escape_ascii().to_string()
        );
    }
}

#[test]
fn request_of_another_version_is_a_request() {
    let next = b"GET / HTTP/2.0\r\nHost: a\r\n\r\n";
    assert_eq!(Following::classify(next, true), Following::Request);
}
