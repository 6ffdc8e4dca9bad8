//! Unit tests of a link's faults and of its reserved port.

use super::*;
use std::sync::atomic::AtomicBool;

use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Starts a server that sends each byte back; returns its link and its address.
async fn echo_server() -> (Arc<Link>, SocketAddr) {
    let link = Arc::new(Link::default());
    let on_connection = |mut stream: LinkedStream| {
        tokio::spawn(async move {
            let mut byte = [0];
            while stream.read_exact(&mut byte).await.is_ok()
                && stream.write_all(&byte).await.is_ok()
            {}
        });
    };
    let (address, _) = link.clone().listen(on_connection).await.unwrap();
    (link, address)
}

#[tokio::test]
async fn link_holds_bytes_back_while_cut_and_resets_or_refuses_connections() {
    let (link, address) = echo_server().await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let mut byte = [0];
    stream.write_all(b"a").await.unwrap();
    stream.read_exact(&mut byte).await.unwrap();
    for cut in [LinkState::Cut, LinkState::OutboundCut] {
        link.set_state(cut);
        stream.write_all(b"b").await.unwrap();
        let read = tokio::time::timeout(
            std::time::Duration::from_millis(50),
            stream.read_exact(&mut byte),
        );
        assert!(read.await.is_err(), "{cut:?}");
        link.set_state(LinkState::Healthy);
        stream.read_exact(&mut byte).await.unwrap();
        assert_eq!(byte, *b"b");
    }
    link.reset();
    let error = stream.read_exact(&mut byte).await.unwrap_err().kind();
    assert_eq!(error, io::ErrorKind::ConnectionReset);
    link.set_state(LinkState::Refused);
    while TcpStream::connect(address).await.is_ok() {}
    link.set_state(LinkState::Healthy);
    while TcpStream::connect(address).await.is_err() {}
}

#[tokio::test]
async fn client_receives_bytes_twice_if_duplicated_and_once_otherwise() {
    let (link, address) = echo_server().await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    for (behaviour, expected) in [
        (WriteBehaviour::Duplicated, &b"aa"[..]),
        (WriteBehaviour::DuplicatedLate, b"aa"),
        (WriteBehaviour::InPieces, b"a"),
        (WriteBehaviour::ShortLengths, b"a"),
        (WriteBehaviour::Unchanged, b"a"),
    ] {
        link.set_write_behaviour(behaviour);
        stream.write_all(b"a").await.unwrap();
        let mut bytes = vec![0; expected.len()];
        stream.read_exact(&mut bytes).await.unwrap();
        assert_eq!(bytes, expected, "{behaviour:?}");
    }
}

#[test]
fn one_in_five_content_lengths_is_shortened_without_changing_the_number_of_bytes() {
    let answer =
        |length| format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n0123456789ab");
    let link = Link::default();
    for number in 0..10 {
        let sent = link.shorten_some_lengths(answer("12").as_bytes());
        let expected = answer(if number % 5 == 0 { "09" } else { "12" });
        assert_eq!(String::from_utf8(sent).unwrap(), expected, "{number}");
    }
    for unchanged in ["", "HTTP/1.1 200 OK\r\n\r\n", "Content-Length: "] {
        assert_eq!(
            with_short_length(unchanged.as_bytes()),
            unchanged.as_bytes()
        );
    }
}

/// Spawns threads that start processes until `stop` is set. A process that is being started holds
/// copies of all descriptors of its parent until `exec`.
fn start_processes(stop: &Arc<AtomicBool>) -> Vec<std::thread::JoinHandle<()>> {
    let spawn_starter = |stop: Arc<AtomicBool>| {
        std::thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let mut child = std::process::Command::new("true").spawn().unwrap();
                child.wait().unwrap();
            }
        })
    };
    (0..3).map(|_| spawn_starter(stop.clone())).collect()
}

/// A process that is being started may hold a copy of the closed listener, which delays listening
/// on its port again. During this delay, no other socket may get the port.
#[tokio::test]
async fn refusing_link_keeps_its_port_while_processes_are_started() {
    let stop = Arc::new(AtomicBool::new(false));
    let starters = start_processes(&stop);
    let mut links = Vec::new();
    for _ in 0..100 {
        let (link, address) = echo_server().await;
        link.set_state(LinkState::Refused);
        while TcpStream::connect(address).await.is_ok() {}
        links.push((link, address));
    }
    stop.store(true, Ordering::SeqCst);
    for starter in starters {
        starter.join().unwrap();
    }
    for (link, address) in links {
        // Without SO_REUSEADDR, `bind` succeeds only if no other socket has the port.
        let second_bind = TcpSocket::new_v4().unwrap().bind(address);
        assert_eq!(
            second_bind.unwrap_err().kind(),
            io::ErrorKind::AddrInUse,
            "{address}"
        );
        link.set_state(LinkState::Healthy);
        while TcpStream::connect(address).await.is_err() {}
    }
}
