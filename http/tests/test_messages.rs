//! Guards against requests that another recipient would parse differently (request smuggling), and
//! against bodies that end too early or too late.

use bytes::BytesMut;
use carobshore_http::body::BodyReader;
use carobshore_http::body::Framing;
use carobshore_http::head::RequestHead;
use carobshore_http::head::ResponseHead;
use carobshore_http::message_error::MessageError;
use proptest::proptest;

fn request(text: &str) -> RequestHead {
    let mut buffer = BytesMut::from(text);
    let head = RequestHead::take(&mut buffer, 4_096);
    head.expect("a valid head").expect("a complete head")
}

#[test]
fn the_request_target_is_not_normalized() {
    let head = request("GET /a/%2e%2E/%7e//b/../c?x=%zz&y=a+b HTTP/1.1\r\nHost: h\r\n\r\n");
    assert_eq!(&*head.target, "/a/%2e%2E/%7e//b/../c?x=%zz&y=a+b");
}

#[test]
fn a_line_of_a_request_head_that_ends_with_lf_alone_is_rejected() {
    for sent in [
        "GET / HTTP/1.1\nHost: h\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: h\n\r\n",
        "GET / HTTP/1.1\r\nHost: h\r\n\n",
        "\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
    ] {
        let head = RequestHead::take(&mut BytesMut::from(sent), 4_096);
        assert!(matches!(head, Err(MessageError::Malformed(_))), "{sent:?}");
    }
}

#[test]
fn ambiguous_body_lengths_are_rejected() {
    for fields in [
        "Content-Length: 3\r\nContent-Length: 4\r\n",
        "Content-Length: 3\r\nContent-Length: 3\r\n",
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: identity\r\n",
        "Content-Length: +3\r\n",
        "Content-Length: 3, 3\r\n",
        "Content-Length:\r\n",
    ] {
        let head = request(&format!("POST / HTTP/1.1\r\n{fields}\r\n"));
        assert!(head.framing().is_err(), "{fields}");
    }
}

#[test]
fn a_request_without_a_length_has_no_body() {
    let head = request("POST / HTTP/1.1\r\nHost: h\r\n\r\n");
    assert_eq!(head.framing().expect("a framing"), Framing::Length(0));
}

#[test]
fn an_oversized_header_section_is_rejected_before_it_is_complete() {
    let mut buffer = BytesMut::from("GET / HTTP/1.1\r\nX: ");
    buffer.extend_from_slice(&[b'a'; 600]);
    let head = RequestHead::take(&mut buffer, 512);
    assert!(matches!(head, Err(MessageError::HeadTooLarge)));
}

#[test]
fn hop_by_hop_fields_are_not_forwarded() {
    let mut fields = request(
        "GET / HTTP/1.1\r\nHost: h\r\nConnection: X-Own, close\r\nX-Own: 1\r\nKeep-Alive: 5\r\nTE: x\r\nX-Kept: 2\r\n\r\n",
    )
    .fields;
    fields.keep_end_to_end();
    let mut text = Vec::new();
    fields.write_to(&mut text);
    assert_eq!(String::from_utf8_lossy(&text), "Host: h\r\nX-Kept: 2\r\n");
}

#[test]
fn interim_responses_are_skipped() {
    let mut buffer = BytesMut::from(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
    );
    let head = ResponseHead::take(&mut buffer, 4_096).expect("a valid head");
    assert_eq!(head.map(|head| head.status), Some(200));
}

#[test]
fn a_response_without_a_length_ends_when_its_connection_closes() {
    let mut buffer = BytesMut::from("HTTP/1.1 200 OK\r\n\r\nabc");
    let head = ResponseHead::take(&mut buffer, 4_096)
        .expect("a valid head")
        .expect("a head");
    let framing = head.framing("GET").expect("a framing");
    assert_eq!(framing, Framing::UntilClose);
    let mut body = BodyReader::new(framing, 100).expect("a body");
    assert!(!body.advance(&mut buffer).expect("valid bytes"));
    assert!(body.on_close());
    assert_eq!(body.into_body(), b"abc");
}

#[test]
fn a_body_with_a_length_is_not_completed_by_a_closed_connection() {
    let mut body = BodyReader::new(Framing::Length(4), 100).expect("a body");
    let mut buffer = BytesMut::from("abc");
    assert!(!body.advance(&mut buffer).expect("valid bytes"));
    assert!(!body.on_close());
}

#[test]
fn bytes_after_a_body_stay_in_the_buffer() {
    for (framing, sent) in [
        (Framing::Length(3), "abcNEXT"),
        (
            Framing::Chunked,
            "2;x=y\r\nab\r\n1\r\nc\r\n0\r\nT: 1\r\n\r\nNEXT",
        ),
    ] {
        let mut body = BodyReader::new(framing, 100).expect("a body");
        let mut buffer = BytesMut::from(sent);
        assert!(body.advance(&mut buffer).expect("valid bytes"));
        assert_eq!(body.into_body(), b"abc");
        assert_eq!(&buffer[..], b"NEXT");
    }
}

#[test]
fn malformed_chunks_are_errors() {
    for sent in [
        "x\r\n",
        "1\r\nabc\r\n",
        "-1\r\na\r\n",
        "ffffffffffffffffff\r\n",
        "5;a\nhello\r\nworld\r\n0\r\n\r\n",
        "5;a\n\r\nworld\r\n0\r\n\r\n",
    ] {
        let mut body = BodyReader::new(Framing::Chunked, 100).expect("a body");
        assert!(body.advance(&mut BytesMut::from(sent)).is_err(), "{sent:?}");
    }
}

#[test]
fn a_body_above_the_limit_is_rejected() {
    assert!(matches!(
        BodyReader::new(Framing::Length(11), 10),
        Err(MessageError::BodyTooLarge)
    ));
    let mut body = BodyReader::new(Framing::Chunked, 10).expect("a body");
    let error = body.advance(&mut BytesMut::from("b\r\n01234567890\r\n"));
    assert!(matches!(error, Err(MessageError::BodyTooLarge)));
}

proptest! {
    /// A chunked body is decoded to the same bytes however it is split into reads.
    #[test]
    fn read_sizes_do_not_matter(sizes in proptest::collection::vec(1_usize..9, 1..40)) {
        let sent = b"5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n";
        let mut body = BodyReader::new(Framing::Chunked, 100).expect("a body");
        let mut buffer = BytesMut::new();
        let mut rest = &sent[..];
        let mut ended = false;
        for size in sizes.into_iter().chain([sent.len()]) {
            let (piece, tail) = rest.split_at(size.min(rest.len()));
            rest = tail;
            buffer.extend_from_slice(piece);
            ended = body.advance(&mut buffer).expect("valid bytes");
        }
        assert!(ended);
        assert_eq!(body.into_body(), b"hello, world");
    }
}

/// Guards against the end of a head before its last field, which is then read as a part of the body.
#[test]
fn a_line_of_a_response_head_that_ends_with_lf_alone_is_rejected() {
    for sent in [
        "HTTP/1.1 200 OK\nA: b\r\n\r\n",
        "HTTP/1.1 200 OK\r\nA: b\n\r\n",
        "HTTP/1.1 200 OK\r\nA: b\r\n\n",
        "HTTP/1.1 200 OK\r\n\nA: b\r\n\r\n",
        "HTTP/1.1 103 Early\r\n\nHTTP/1.1 200 OK\r\n\r\n",
        "\nHTTP/1.1 200 OK\r\n\r\n",
    ] {
        let head = ResponseHead::take(&mut BytesMut::from(sent), 4_096);
        assert!(matches!(head, Err(MessageError::Malformed(_))), "{sent:?}");
    }
}

/// Guards against a parser that looks at many bytes of a name at once and misses one.
#[test]
fn a_byte_that_no_name_may_have_is_rejected_anywhere_in_it() {
    let name = "A-Name-That-Is-Longer-Than-Any-Register-Of-A-Processor-Is-Wide";
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
    for byte in (0..=u8::MAX).filter(|byte| !is_allowed(*byte) && *byte != b':') {
        for at in 0..=name.len() {
            let mut sent = BytesMut::from("HTTP/1.1 200 OK\r\n");
            sent.extend_from_slice(&name.as_bytes()[..at]);
            sent.extend_from_slice(&[byte]);
            sent.extend_from_slice(&name.as_bytes()[at..]);
            sent.extend_from_slice(b": value\r\nContent-Length: 0\r\n\r\n");
            let head = ResponseHead::take(&mut sent, 4_096);
            assert!(head.is_err(), "byte {byte:#04x} at {at}");
        }
    }
}
