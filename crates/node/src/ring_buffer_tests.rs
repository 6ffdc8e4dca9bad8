//! Unit tests of ring buffers, bodies and their memory budget.

use super::body::UNLIMITED_BODY_BYTES;
use super::*;

#[test]
fn buffered_bytes_count_against_the_budget_until_they_are_consumed_or_dropped() {
    let budget = BufferBudget::new(5000);
    let (mut buffer, mut body) = (
        RingBuffer::new(9000).with_budget(&budget),
        Body::with_budget(&budget),
    );
    assert!(buffer.push(&[0; 4000]) && body.extend(&[0; 1000]));
    // An exhausted budget refuses what would make a body long, and accepts short bodies.
    assert!(budget.is_exhausted() && !body.extend(&[0; UNLIMITED_BODY_BYTES - 999]));
    assert!(body.extend(&[0; UNLIMITED_BODY_BYTES - 1000]) && !body.extend(&[0]));
    buffer.consume(4000);
    assert!(body.extend(&[0; 4000]) && budget.is_exhausted());
    assert!(!body.extend(&[0]));
    let taken = body.take();
    assert!(budget.is_exhausted());
    drop((buffer, body, taken));
    assert_eq!(budget.remaining.get(), 5000);
}

#[test]
fn buffer_that_wraps_around_keeps_the_byte_order_and_its_maximum_size() {
    let mut buffer = RingBuffer::new(5000);
    let bytes: Vec<u8> = (0..4000u32).map(|i| i as u8).collect();
    assert!(buffer.push(&bytes[..1500]));
    buffer.consume(1200);
    assert!(buffer.push(&bytes[1500..]));
    assert_eq!(buffer.bytes(), &bytes[1200..]);
    assert!(!buffer.push(&[0; 2500]));
    buffer.consume(2800);
    assert!(buffer.is_empty() && buffer.storage.is_empty());
}

#[test]
fn read_from_a_socket_takes_only_as_many_bytes_as_fit_into_the_buffer() {
    let (sender, receiver) = std::os::unix::net::UnixStream::pair().unwrap();
    receiver.set_nonblocking(true).unwrap();
    let mut buffer = RingBuffer::new(10);
    assert!(buffer.push(b"0123456789"));
    assert_eq!(buffer.write_to(&sender), WriteOutcome::Done);
    let mut inbound = RingBuffer::new(4);
    assert_eq!(
        (inbound.read_from(&receiver), inbound.bytes()),
        (ReadOutcome::Data, &b"0123"[..])
    );
    assert_eq!(inbound.read_from(&receiver), ReadOutcome::BufferFull);
    inbound.consume(2);
    assert_eq!(
        (inbound.read_from(&receiver), inbound.bytes()),
        (ReadOutcome::Data, &b"2345"[..])
    );
    inbound.consume(4);
    drop(sender);
    assert_eq!(
        (inbound.read_from(&receiver), inbound.bytes()),
        (ReadOutcome::Data, &b"6789"[..])
    );
    inbound.consume(4);
    assert_eq!(inbound.read_from(&receiver), ReadOutcome::EndOfStream);
}
