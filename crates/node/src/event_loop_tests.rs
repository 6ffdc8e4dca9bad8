//! Unit tests of the encoding of `Token`.

use super::*;

#[test]
fn every_token_is_decoded_as_it_was_encoded() {
    for token in [
        Token::Listener,
        Token::Signal(SignalKind::Terminate),
        Token::Signal(SignalKind::Reload),
        Token::Client(0),
        Token::Client(u32::MAX),
        Token::Upstream(7),
        Token::Discovery(u32::MAX),
    ] {
        assert_eq!(Token::decode(token.encode()), Some(token));
    }
}

#[test]
fn data_that_encodes_no_token_is_decoded_as_none() {
    for data in [1 << 32 | 2, 5 << 32, u64::MAX] {
        assert_eq!(Token::decode(EventData::new_u64(data)), None, "{data}");
    }
}
