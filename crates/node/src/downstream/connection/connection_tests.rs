//! Unit tests of client connections.

use super::*;

const REQUEST: &str = "POST /api?a=b HTTP/1.1\r\nHost: h\r\nX-Txn: 1f\r\nX-Lane: report\r\nX-Org: acme\r\n\
    X-Remaining-Ms: 480\r\nX-Estimate: 1500\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\nhi";

#[test]
fn graceful_close_ends_the_stream_and_discards_a_request_that_arrived_late() {
    use rustix::net::{AddressFamily, SocketFlags, SocketType, socketpair};
    use std::io::{Read as _, Write as _};
    let (family, kind, flags) = (
        AddressFamily::UNIX,
        SocketType::STREAM,
        SocketFlags::NONBLOCK,
    );
    let (server, client) = socketpair(family, kind, flags, None).unwrap();
    let mut client = std::os::unix::net::UnixStream::from(client);
    let mut connection = ClientConnection::new(server, 0, 0, &BufferBudget::default());
    client.write_all(REQUEST.as_bytes()).unwrap();
    assert!(matches!(connection.read(0, 0), ReadEvent::Message(_)));
    connection.queue_reply(0, Reply::new(200, b"hi"));
    assert!(connection.flush(0) == WriteOutcome::Done && client.read(&mut [0; 256]).unwrap() > 0);
    client.write_all(REQUEST.as_bytes()).unwrap();
    connection.close_gracefully();
    assert_eq!(client.read(&mut [0; 256]).unwrap(), 0);
    assert!(!connection.may_have_unread());
}
