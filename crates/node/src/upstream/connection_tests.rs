//! Unit tests of upstream connections.

use super::*;
use rustix::net::{AddressFamily, SocketFlags, SocketType, socketpair};
use std::io::{Read as _, Write as _};
use std::os::unix::net::UnixStream;

/// A connection whose request is written, and the backend's end.
fn waiting() -> (UpstreamConnection, UnixStream) {
    let (family, kind, flags) = (
        AddressFamily::UNIX,
        SocketType::STREAM,
        SocketFlags::NONBLOCK,
    );
    let (near, far) = socketpair(family, kind, flags, None).unwrap();
    let mut connection = UpstreamConnection::new(near, BackendId(1), &BufferBudget::default());
    connection.state = UpstreamState::Sending;
    assert!(connection.outbox.push(b"GET / HTTP/1.1\r\n\r\n"));
    assert!(matches!(connection.advance(true), Progress::Pending));
    (connection, far.into())
}

fn end(bytes: &str, close: bool) -> Result<(Outcome, Reuse), Outcome> {
    let (mut connection, mut far) = waiting();
    far.write_all(bytes.as_bytes()).unwrap();
    let far = (!close).then_some(far);
    let found = match connection.advance(true) {
        Progress::Answered(answer) => Ok((outcome(&answer.head), answer.reuse)),
        Progress::Failed(outcome) => Err(outcome),
        _ => panic!("not ended"),
    };
    drop(far);
    found
}

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";

#[test]
fn every_answer_has_its_outcome() {
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
        assert_eq!(end(&answer, false), Ok((outcome, Reuse::Yes)), "{answer}");
    }
}

#[test]
fn a_connection_that_closes_or_says_more_is_not_reused() {
    let closing = OK.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
    assert_eq!(end(&closing, false), Ok((Outcome::Success, Reuse::No)));
    assert_eq!(
        end(&format!("{OK}stray"), false),
        Ok((Outcome::Success, Reuse::UnexpectedBytes))
    );
}

#[test]
fn what_is_no_complete_answer_is_a_reset() {
    assert_eq!(end(&OK[..OK.len() - 1], true), Err(Outcome::Reset));
    assert_eq!(end("", true), Err(Outcome::Reset));
    assert_eq!(end("nonsense\r\n\r\n", false), Err(Outcome::Reset));
    assert_eq!(
        end(&OK.replace(": 2", ": 3221225472"), false),
        Err(Outcome::Reset)
    );
    // The far end has not read the request, so its close is a reset.
    assert_eq!(
        end(&OK.replace("Content-Length: 2", "A: b"), true),
        Err(Outcome::Reset)
    );
    assert_eq!(
        end(&"HTTP/1.1 103 Early\r\n\r\n".repeat(99), false),
        Err(Outcome::Reset)
    );
}

#[test]
fn a_long_answer_passes() {
    let long = "x".repeat(400_000);
    let (mut connection, mut far) = waiting();
    far.set_nonblocking(false).unwrap();
    let sent = std::thread::spawn(move || {
        write!(
            far,
            "HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n{long}"
        )
        .unwrap();
        far
    });
    let body = loop {
        match connection.advance(true) {
            Progress::Pending => {}
            Progress::Answered(Answer {
                body,
                reuse: Reuse::Yes,
                ..
            }) => break body,
            _ => panic!("not answered"),
        }
    };
    assert_eq!(body.len(), 400_000);
    drop(sent.join());
}

#[test]
fn an_answer_without_a_length_is_complete_at_an_orderly_end_and_not_before() {
    let (mut connection, mut far) = waiting();
    far.write_all(OK.replace("Content-Length: 2", "A: b").as_bytes())
        .unwrap();
    assert!(matches!(connection.advance(true), Progress::Pending));
    assert!(far.read(&mut [0; 64]).unwrap() > 0);
    drop(far);
    let Progress::Answered(Answer { head, body, reuse }) = connection.advance(true) else {
        panic!("not answered")
    };
    assert_eq!(
        (outcome(&head), &*body, reuse),
        (Outcome::Success, &b"hi"[..], Reuse::No)
    );
}

#[test]
fn an_answer_before_the_request_is_whole_is_not_its_answer() {
    let (mut connection, mut far) = waiting();
    connection.state = UpstreamState::Sending;
    sockopt::set_socket_send_buffer_size(&connection.socket, 4096).unwrap();
    assert!(connection.outbox.push(&vec![b'x'; MAX_REQUEST_BODY]));
    far.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
        .unwrap();
    assert!(matches!(
        connection.advance(true),
        Progress::Failed(Outcome::ConnectFailed)
    ));
}

#[test]
fn what_is_not_written_completely_was_not_executed() {
    let (mut connection, far) = waiting();
    assert_eq!(
        connection.outcome_if_closed(Outcome::Timeout),
        Outcome::Timeout
    );
    connection.state = UpstreamState::Sending;
    assert_eq!(
        connection.outcome_if_closed(Outcome::Timeout),
        Outcome::ConnectFailed
    );
    drop(far);
    assert!(connection.outbox.push(b"more"));
    assert!(matches!(
        connection.advance(true),
        Progress::Failed(Outcome::ConnectFailed)
    ));
}

#[test]
fn an_idle_connection_with_an_end_or_stray_bytes_is_not_reused() {
    let (connection, mut far) = waiting();
    assert_eq!(connection.check_reuse(), Reuse::Yes);
    far.write_all(b"x").unwrap();
    assert_eq!(connection.check_reuse(), Reuse::UnexpectedBytes);
    let (connection, far) = waiting();
    drop(far);
    assert_eq!(connection.check_reuse(), Reuse::No);
}
