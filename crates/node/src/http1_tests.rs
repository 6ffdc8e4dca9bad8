//! Unit tests of the HTTP parser and the writer.

use super::head::MAX_HEADERS;
use super::*;

/// Parses `input` byte by byte and as a whole, and checks that both give the same body or error.
fn parse_both_ways(
    mut parser: impl FnMut() -> Parser,
    input: &str,
) -> Result<Option<(Head, String)>, ParseError> {
    let parse_in_steps = |mut parser: Parser, step_bytes: usize| {
        let (mut buffered, mut fed) = (Vec::new(), 0);
        while fed < input.len() && !parser.is_done() {
            let end = (fed + step_bytes).min(input.len());
            buffered.extend_from_slice(&input.as_bytes()[fed..end]);
            fed = end;
            let consumed = parser.feed(&buffered)?;
            buffered.drain(..consumed);
        }
        Ok(parser
            .take_message()
            .map(|(head, body)| (head, String::from_utf8(body.to_vec()).unwrap())))
    };
    let (bytewise, whole) = (
        parse_in_steps(parser(), 1),
        parse_in_steps(parser(), input.len()),
    );
    let body_or_error = |result: &Result<Option<(Head, String)>, ParseError>| match result {
        Ok(message) => Ok(message.as_ref().map(|m| m.1.clone())),
        Err(error) => Err(*error),
    };
    assert_eq!(body_or_error(&bytewise), body_or_error(&whole), "{input:?}");
    whole
}

fn parse_request(input: &str) -> Result<Option<(Head, String)>, ParseError> {
    parse_both_ways(Parser::requests, input)
}

#[test]
fn parser_reads_requests_and_responses_both_byte_by_byte_and_as_a_whole() {
    let (head, body) = parse_request(
        "\r\nPOST /api?x=1 HTTP/1.1\r\nHost: a\r\nX-Txn:  b \r\nContent-Length: 3\r\n\r\nabc",
    )
    .unwrap()
    .unwrap();
    assert_eq!(
        head.start,
        Start::Request {
            method: "POST".into(),
            target: "/api?x=1".into()
        }
    );
    assert_eq!(
        (head.unique("x-txn"), head.keep_alive, body.as_str()),
        (Ok(Some("b")), true, "abc")
    );
    let chunked = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\
         Connection: close\r\n\r\n\
         3;e=1\r\nabc\r\n2\r\nde\r\n0\r\nT: 1\r\n\r\n";
    let (head, body) = parse_both_ways(Parser::responses, chunked)
        .unwrap()
        .unwrap();
    assert_eq!((head.keep_alive, body.as_str()), (false, "abcde"));
    let close_delimited = b"HTTP/1.0 200 OK\r\n\r\nabc";
    assert_eq!(
        Parser::responses().feed(close_delimited),
        Err(ParseError::Malformed)
    );
    let mut lenient_parser = Parser::responses().allow_close_delimited();
    lenient_parser.feed(close_delimited).unwrap();
    assert!(!lenient_parser.is_done() && lenient_parser.end_of_input());
    assert!(
        parse_request("GET / HTTP/1.1\r\nHost: a\r\n")
            .unwrap()
            .is_none()
    );
}

/// Asserts that a request with these header lines after its `Host` fails to parse with `error`.
fn assert_header_error(headers: &str, error: ParseError) {
    let result = parse_request(&format!("POST /api HTTP/1.1\r\nHost: a\r\n{headers}\r\n"));
    assert_eq!(result.err(), Some(error), "{headers:.60}");
}

#[test]
fn request_with_ambiguous_body_framing_is_rejected() {
    for headers in [
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n",
        "Content-Length: +3\r\n",
        "Content-Length: 3, 3\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding : chunked\r\n",
    ] {
        assert_header_error(headers, ParseError::Malformed);
    }
}

#[test]
fn request_with_ambiguous_header_lines_is_rejected() {
    for headers in ["A: b\r\n c\r\n", "A: b\nC: d\r\n", "Host: b\r\n"] {
        assert_header_error(headers, ParseError::Malformed);
    }
}

#[test]
fn request_with_a_head_or_body_above_the_size_limits_is_rejected() {
    for length in ["65537", "99999999999999999999999"] {
        let headers = format!("Content-Length: {length}\r\n");
        assert_header_error(&headers, ParseError::BodyTooLarge);
    }
    let long_value = format!("A: {}\r\n", "x".repeat(MAX_HEAD));
    assert_header_error(&long_value, ParseError::HeadTooLarge);
    let many_headers = "A: b\r\n".repeat(MAX_HEADERS + 1);
    assert_header_error(&many_headers, ParseError::HeadTooLarge);
    let chunk = "8000\r\n".to_owned() + &"x".repeat(0x8000) + "\r\n";
    let oversized = CHUNKED_HEAD.to_owned() + &chunk.repeat(3);
    assert_eq!(
        parse_request(&oversized).err(),
        Some(ParseError::BodyTooLarge)
    );
}

#[test]
fn request_line_with_an_invalid_grammar_or_version_is_rejected() {
    for (start_line, error) in [
        ("GET /api HTTP/2.0", ParseError::UnsupportedVersion),
        ("GET /api", ParseError::Malformed),
        ("GET  /api HTTP/1.1", ParseError::Malformed),
        ("GET api HTTP/1.1", ParseError::Malformed),
        ("G(T /api HTTP/1.1", ParseError::Malformed),
    ] {
        let result = parse_request(&format!("{start_line}\r\nHost: a\r\n\r\n"));
        assert_eq!(result.err(), Some(error), "{start_line}");
    }
}

const CHUNKED_HEAD: &str = "POST /api HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

#[test]
fn chunk_that_breaks_the_grammar_is_rejected() {
    for body in ["x\r\n", "-1\r\n", "FFFFFFFFF\r\n", "1\r\nabc"] {
        let result = parse_request(&format!("{CHUNKED_HEAD}{body}"));
        assert_eq!(result.err(), Some(ParseError::Malformed), "{body}");
    }
}

#[test]
fn only_end_to_end_headers_are_forwarded_and_only_a_body_gets_a_length() {
    let (head, _) = parse_request(
        "GET / HTTP/1.1\r\nHost: a\r\nX-Txn: t\r\nConnection: close, X-Hop\r\n\
         X-Hop: 1\r\nTE: x\r\n\r\n",
    )
    .unwrap()
    .unwrap();
    assert_eq!(
        head.end_to_end_headers().collect::<Vec<_>>(),
        [("host", "a"), ("x-txn", "t")]
    );
    assert_eq!(
        write("GET / HTTP/1.1", [("a", "b")], None),
        b"GET / HTTP/1.1\r\na: b\r\n\r\n"
    );
    assert!(write("X", [], Some(b"abc")).ends_with(b"content-length: 3\r\n\r\nabc"));
}

#[test]
fn each_parse_error_maps_to_its_status() {
    for (error, status) in [
        (ParseError::Malformed, 400),
        (ParseError::HeadTooLarge, 431),
        (ParseError::BodyTooLarge, 413),
        (ParseError::UnsupportedVersion, 505),
        (ParseError::BufferBudgetSpent, 503),
    ] {
        assert_eq!(error.status(), status, "{error:?}");
    }
}
