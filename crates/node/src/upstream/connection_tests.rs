//! Unit tests of upstream connections.

use super::*;
use crate::rules::{self, WriteFacts};
use rustix::net::{AddressFamily, SocketFlags, SocketType, socketpair};
use std::io::{Read as _, Write as _};
use std::os::unix::net::UnixStream;

/// A connection whose request is completely written, and the socket at the backend's end of that
/// connection.
fn connection_with_sent_request() -> (UpstreamConnection, UnixStream) {
    let (family, kind, flags) = (
        AddressFamily::UNIX,
        SocketType::STREAM,
        SocketFlags::NONBLOCK,
    );
    let (socket, backend) = socketpair(family, kind, flags, None).unwrap();
    let mut connection = UpstreamConnection::new(socket, BackendId(1), &BufferBudget::default());
    connection.state = UpstreamState::Sending;
    assert!(connection.outbox.push(b"GET / HTTP/1.1\r\n\r\n"));
    assert!(matches!(
        connection.advance(true, &Clock::start()),
        Progress::Pending
    ));
    (connection, backend.into())
}

fn write_permit() -> WritePermit {
    let facts = WriteFacts {
        answered: false,
        client: rules::ClientState::Connected,
        backend_ready: true,
        unread: Unread::Nothing,
        abandon_at: Nanos::MAX,
        write_by: Nanos::MAX,
    };
    rules::may_write(0, &facts).unwrap()
}

/// Reads what has arrived at the backend's end, so that the connection can be written to again.
fn read_available(backend: &mut UnixStream) {
    while matches!(backend.read(&mut [0; 4096]), Ok(1..)) {}
}

/// What comes of a sent request when these bytes arrive, followed by the end of the connection if
/// `close` is set.
fn progress_of_answer(bytes: &str, close: bool) -> Progress {
    let (mut connection, mut backend) = connection_with_sent_request();
    backend.write_all(bytes.as_bytes()).unwrap();
    let backend = (!close).then_some(backend);
    let progress = connection.advance(true, &Clock::start());
    drop(backend);
    progress
}

fn outcome_of_answer(bytes: &str, close: bool) -> Result<(Outcome, Reuse), Outcome> {
    match progress_of_answer(bytes, close) {
        Progress::Answered(answer) => Ok((outcome(&answer.head), answer.reuse)),
        Progress::Failed(outcome) => Err(outcome),
        _ => panic!("the attempt has not ended as expected"),
    }
}

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";

#[test]
fn status_and_turned_away_header_determine_the_outcome() {
    let rejecting = "X-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";
    for (answer, outcome) in [
        (OK.to_string(), Outcome::Success),
        (
            format!("HTTP/1.1 503 No\r\n{rejecting}"),
            Outcome::Overloaded,
        ),
        (
            format!("HTTP/1.1 504 No\r\n{rejecting}"),
            Outcome::Overloaded,
        ),
        (format!("HTTP/1.1 500 No\r\n{rejecting}"), Outcome::Error),
        (
            format!("HTTP/1.1 400 No\r\n{rejecting}"),
            Outcome::BadRequest,
        ),
        (format!("HTTP/1.1 429 No\r\n{rejecting}"), Outcome::Error),
        (
            "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n".to_string(),
            Outcome::Error,
        ),
        (
            "HTTP/1.1 103 Early\r\n\r\n".repeat(9) + OK,
            Outcome::Success,
        ),
    ] {
        assert_eq!(
            outcome_of_answer(&answer, false),
            Ok((outcome, Reuse::Yes)),
            "{answer}"
        );
    }
}

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n";

#[test]
fn connection_with_close_header_or_trailing_bytes_is_not_reused() {
    let closing = OK.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
    assert_eq!(
        outcome_of_answer(&closing, false),
        Ok((Outcome::Success, Reuse::No))
    );
    // The end of these answers is certain: a chunked body marks it, and a copy shows it.
    let early_hints = format!("HTTP/1.1 103 Early\r\n\r\n{OK}");
    for answer in [
        OK.repeat(2),
        OK.repeat(3),
        format!("{OK}{OK}stray"),
        early_hints.repeat(2),
        CHUNKED.repeat(2),
        format!("{CHUNKED}stray"),
    ] {
        assert_eq!(
            outcome_of_answer(&answer, false),
            Ok((Outcome::Success, Reuse::UnexpectedBytes)),
            "{answer}"
        );
    }
}

/// Guards against forwarding a body that a `Content-Length` below the body's length cuts off.
#[test]
fn answer_longer_than_its_content_length_fails_the_attempt() {
    let rejection = "HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 2\r\n\r\nno";
    for answer in [
        format!("{OK}g"),
        format!("{OK}gh\r\n\r\n"),
        OK.replace(": 2", ": 0"),
        format!("{OK}{}", &OK[..OK.len() - 1]),
        format!("{OK}g{OK}"),
        format!("{OK}{}", OK.replace("hi", "ho")),
        format!("{OK}{}", OK.replace("OK", "OK\r\nX-A: b")),
        format!("{OK}{rejection}"),
        format!("{OK}{CHUNKED}"),
        format!("{OK}{}", "HTTP/1.1 103 Early\r\n\r\n".repeat(99)),
        format!("{rejection}pe"),
        OK.replace("200 OK", "400 No") + "pe",
    ] {
        for close in [false, true] {
            let progress = progress_of_answer(&answer, close);
            assert!(
                matches!(progress, Progress::LengthMismatch(Outcome::Reset)),
                "{answer}"
            );
        }
    }
}

/// Guards against forwarding a long body that is cut off, whose end is not in the inbox yet when
/// the answer counts as complete.
#[test]
fn long_answer_longer_than_its_content_length_fails_the_attempt() {
    let (mut connection, mut backend) = connection_with_sent_request();
    backend.set_nonblocking(false).unwrap();
    let body = "x".repeat(400_000);
    let sender = std::thread::spawn(move || {
        let _ = write!(
            backend,
            "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n{body}"
        );
    });
    let progress = loop {
        match connection.advance(true, &Clock::start()) {
            Progress::Pending => {}
            progress => break progress,
        }
    };
    assert!(matches!(progress, Progress::LengthMismatch(Outcome::Reset)));
    drop(connection);
    sender.join().unwrap();
}

#[test]
fn incomplete_or_malformed_answer_ends_the_attempt_as_a_reset() {
    assert_eq!(
        outcome_of_answer(&OK[..OK.len() - 1], true),
        Err(Outcome::Reset)
    );
    assert_eq!(outcome_of_answer("", true), Err(Outcome::Reset));
    assert_eq!(
        outcome_of_answer("nonsense\r\n\r\n", false),
        Err(Outcome::Reset)
    );
    assert_eq!(
        outcome_of_answer(&OK.replace(": 2", ": 3221225472"), false),
        Err(Outcome::Reset)
    );
    // The backend has not read the request, so its close is a reset.
    assert_eq!(
        outcome_of_answer(&OK.replace("Content-Length: 2", "A: b"), true),
        Err(Outcome::Reset)
    );
    assert_eq!(
        outcome_of_answer(&"HTTP/1.1 103 Early\r\n\r\n".repeat(99), false),
        Err(Outcome::Reset)
    );
}

#[test]
fn answer_longer_than_the_inbox_is_received_whole() {
    let long_body = "x".repeat(400_000);
    let (mut connection, mut backend) = connection_with_sent_request();
    backend.set_nonblocking(false).unwrap();
    let sender = std::thread::spawn(move || {
        write!(
            backend,
            "HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n{long_body}"
        )
        .unwrap();
        backend
    });
    let body = loop {
        match connection.advance(true, &Clock::start()) {
            Progress::Pending => {}
            Progress::Answered(Answer {
                body,
                reuse: Reuse::Yes,
                ..
            }) => break body,
            _ => panic!("no complete answer was received"),
        }
    };
    assert_eq!(body.len(), 400_000);
    drop(sender.join());
}

#[test]
fn answer_without_length_is_complete_only_at_an_orderly_close() {
    let (mut connection, mut backend) = connection_with_sent_request();
    backend
        .write_all(OK.replace("Content-Length: 2", "A: b").as_bytes())
        .unwrap();
    assert!(matches!(
        connection.advance(true, &Clock::start()),
        Progress::Pending
    ));
    assert!(backend.read(&mut [0; 64]).unwrap() > 0);
    drop(backend);
    let Progress::Answered(Answer { head, body, reuse }) =
        connection.advance(true, &Clock::start())
    else {
        panic!("no complete answer was received")
    };
    assert_eq!(
        (outcome(&head), &*body, reuse),
        (Outcome::Success, &b"hi"[..], Reuse::No)
    );
}

#[test]
fn success_before_the_request_is_fully_sent_fails_the_attempt() {
    let (mut connection, mut backend) = connection_with_sent_request();
    connection.state = UpstreamState::Sending;
    sockopt::set_socket_send_buffer_size(&connection.socket, 4096).unwrap();
    assert!(connection.outbox.push(&vec![b'x'; MAX_REQUEST_BODY]));
    backend
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
        .unwrap();
    assert!(matches!(
        connection.advance(true, &Clock::start()),
        Progress::UnexpectedBytes(Outcome::ConnectFailed)
    ));
}

/// Guards against an answer that begins before the request is completely written and ends after it.
#[test]
fn answer_that_began_before_the_request_was_fully_sent_fails_the_attempt() {
    let (mut connection, mut backend) = connection_with_sent_request();
    sockopt::set_socket_send_buffer_size(&connection.socket, 4096).unwrap();
    assert!(connection.queue_request(&vec![b'x'; MAX_REQUEST_BODY], &write_permit()));
    let clock = Clock::start();
    assert!(matches!(
        connection.advance(true, &clock),
        Progress::Pending
    ));
    let (first_half, second_half) = OK.split_at(9);
    backend.write_all(first_half.as_bytes()).unwrap();
    read_available(&mut backend);
    let progress = connection.advance(true, &clock);
    backend.write_all(second_half.as_bytes()).unwrap();
    assert!(matches!(
        progress,
        Progress::UnexpectedBytes(Outcome::ConnectFailed)
    ));
}

#[test]
fn attempt_that_is_not_fully_written_ends_as_connect_failed() {
    let (mut connection, backend) = connection_with_sent_request();
    assert_eq!(
        connection.outcome_if_closed(Outcome::Timeout),
        Outcome::Timeout
    );
    connection.state = UpstreamState::Sending;
    assert_eq!(
        connection.outcome_if_closed(Outcome::Timeout),
        Outcome::ConnectFailed
    );
    drop(backend);
    assert!(connection.outbox.push(b"more"));
    assert!(matches!(
        connection.advance(true, &Clock::start()),
        Progress::Failed(Outcome::ConnectFailed)
    ));
}

#[test]
fn closed_idle_connection_or_one_with_unread_bytes_is_not_reused() {
    let (connection, mut backend) = connection_with_sent_request();
    assert_eq!(connection.check_reuse(), Reuse::Yes);
    backend.write_all(b"x").unwrap();
    assert_eq!(connection.check_reuse(), Reuse::UnexpectedBytes);
    let (connection, backend) = connection_with_sent_request();
    drop(backend);
    assert_eq!(connection.check_reuse(), Reuse::No);
}
