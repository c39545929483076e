//! Guards against heads and bodies of odd bytes that make a reader hold more than its limits.

use bytes::BytesMut;
use carobshore_http::body::BodyReader;
use carobshore_http::body::Framing;
use carobshore_http::head::RequestHead;
use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::strategy::Just;

/// The largest head, in bytes.
const MAX_HEAD: usize = 2_000;
/// The largest body, in bytes.
const MAX_BODY: usize = 3_000;
/// The longest line between chunks that a reader waits for, and more.
const MAX_LINE: usize = 4_096;
/// The longest piece that arrives at once, in bytes.
const MAX_PIECE: usize = 700;

/// Pieces of messages, most of them odd.
fn piece() -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![
        vec(any::<u8>(), 0..40),
        Just(b"GET / HTTP/1.1\r\n".to_vec()),
        Just(b"\r\n".to_vec()),
        Just(b"F:\r\n".to_vec()),
        Just(b"1\r\nx\r\n".to_vec()),
        Just(b"0\r\n".to_vec()),
        Just(b"ffffffffffffffff\r\n".to_vec()),
        Just(b"F: x\r\n".repeat(30)),
        (1..MAX_PIECE).prop_map(|length| vec![b'x'; length]),
        (1..MAX_PIECE)
            .prop_map(|length| format!("{length:x}\r\n{}\r\n", "y".repeat(length)).into_bytes()),
    ]
}

proptest! {
    #[test]
    fn a_head_that_is_not_whole_stays_within_its_limit(pieces in vec(piece(), 1..60)) {
        let mut buffer = BytesMut::new();
        for piece in pieces {
            buffer.extend_from_slice(&piece);
            match RequestHead::take(&mut buffer, MAX_HEAD) {
                Ok(Some(_)) => {}
                Ok(None) => assert!(buffer.len() <= MAX_HEAD),
                Err(_) => return Ok(()),
            }
        }
    }

    #[test]
    fn a_body_stays_within_its_limit(pieces in vec(piece(), 1..60), kind in 0..3, length in 0..5_000_u64) {
        let framing = match kind {
            0 => Framing::Length(length),
            1 => Framing::Chunked,
            _ => Framing::UntilClose,
        };
        let Ok(mut body) = BodyReader::new(framing, MAX_BODY) else {
            assert!(length > MAX_BODY as u64);
            return Ok(());
        };
        let mut buffer = BytesMut::new();
        for piece in pieces {
            buffer.extend_from_slice(&piece);
            let whole = body.advance(&mut buffer);
            assert!(body.decoded() <= MAX_BODY && body.memory() <= MAX_BODY);
            match whole {
                Ok(false) => assert!(buffer.len() <= MAX_LINE),
                Ok(true) | Err(_) => return Ok(()),
            }
        }
    }
}
