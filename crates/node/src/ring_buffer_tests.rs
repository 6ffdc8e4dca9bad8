//! Unit tests of `ring_buffer`.

use super::*;

#[test]
fn buffered_bytes_are_counted_and_given_back() {
    let budget = BufferBudget::new(5000);
    let (mut ring, mut body) = (
        RingBuffer::new(9000).with_budget(&budget),
        Body::with_budget(&budget),
    );
    assert!(ring.push(&[0; 4000]) && body.extend(&[0; 1000]));
    assert!(budget.is_spent() && !body.extend(&[0]));
    ring.consume(4000);
    assert!(body.extend(&[0; 4000]) && budget.is_spent());
    let moved = body.take();
    assert!(budget.is_spent());
    drop((ring, body, moved));
    assert_eq!(budget.remaining.get(), 5000);
}

#[test]
fn keeps_order_when_it_wraps_and_stays_below_its_maximum() {
    let mut ring = RingBuffer::new(5000);
    let bytes: Vec<u8> = (0..4000u32).map(|i| i as u8).collect();
    assert!(ring.push(&bytes[..1500]));
    ring.consume(1200);
    assert!(ring.push(&bytes[1500..]));
    assert_eq!(ring.bytes(), &bytes[1200..]);
    assert!(!ring.push(&[0; 2500]));
    ring.consume(2800);
    assert!(ring.is_empty() && ring.storage.is_empty());
}

#[test]
fn carries_bytes_from_socket_to_socket_as_they_fit() {
    let (near, far) = std::os::unix::net::UnixStream::pair().unwrap();
    far.set_nonblocking(true).unwrap();
    let mut ring = RingBuffer::new(10);
    assert!(ring.push(b"0123456789"));
    assert_eq!(ring.write_to(&near), WriteOutcome::Done);
    let mut into = RingBuffer::new(4);
    assert_eq!(
        (into.read_from(&far), into.bytes()),
        (ReadOutcome::Data, &b"0123"[..])
    );
    assert_eq!(into.read_from(&far), ReadOutcome::BufferFull);
    into.consume(2);
    assert_eq!(
        (into.read_from(&far), into.bytes()),
        (ReadOutcome::Data, &b"2345"[..])
    );
    into.consume(4);
    drop(near);
    assert_eq!(
        (into.read_from(&far), into.bytes()),
        (ReadOutcome::Data, &b"6789"[..])
    );
    into.consume(4);
    assert_eq!(into.read_from(&far), ReadOutcome::EndOfStream);
}
