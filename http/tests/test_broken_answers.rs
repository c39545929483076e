//! Guards against incomplete answers that are taken for whole ones, and against answers without end
//! that are kept in memory.

use std::time::Duration;

use carobshore_http::client::Client;
use carobshore_http::client::EncodedRequest;
use carobshore_http::client::ExchangeFailure;
use carobshore_http::client::Response;
use carobshore_http::fields::Fields;
use carobshore_http::socket::KeepAliveOptions;
use carobshore_standin::broken_server::AnswerEnd;
use carobshore_standin::broken_server::BrokenAnswer;
use carobshore_standin::broken_server::BrokenServer;
use carobshore_standin::broken_server::UploadRead;
use carobshore_standin::endless_part::EndlessPart;

/// More than the kernel takes of an upload that nobody reads, in bytes.
const UPLOAD: usize = 16 << 20;
/// An upload that the kernel takes as a whole, but the server does not, in bytes.
const SENT_UPLOAD: usize = 400 << 10;
/// The largest body of an answer, in bytes.
const MAX_BODY: usize = 64 << 20;
/// Time limit for one exchange.
const TIMEOUT: Duration = Duration::from_secs(10);
/// The body of the answer.
const BODY: &str = "0123456789";
/// How often each case is tried, because the order of a read and a write decides.
const TRIES: usize = 8;

/// How an answer states its length, with its whole bytes.
const FRAMINGS: [(&str, &str, &str); 3] = [
    ("no length", "", BODY),
    ("a length", "Content-Length: 10\r\n", BODY),
    (
        "chunks",
        "Transfer-Encoding: chunked\r\n",
        "5\r\n01234\r\n5\r\n56789\r\n0\r\n\r\n",
    ),
];

async fn exchange(server: &BrokenServer, upload: usize) -> Result<Response, ExchangeFailure> {
    let options = KeepAliveOptions::SHORT;
    let client = Client::open(server.addr(), TIMEOUT, options, MAX_BODY);
    let mut client = client.await.expect("a connection");
    let body = vec![b'x'; upload];
    let request = EncodedRequest::new("POST", "/", &Fields::default(), &body);
    let exchange = client.exchange(&request, |_| true);
    let ended = tokio::time::timeout(TIMEOUT, exchange);
    ended.await.expect("the exchange ends by itself")
}

/// Tries one answer again and again. Returns how often a response was taken for whole.
async fn taken_for_whole(answer: &BrokenAnswer, upload: usize) -> usize {
    let answer = answer.clone();
    let server = BrokenServer::start(move |_| answer.clone()).expect("a server");
    let mut taken = 0;
    for _ in 0..TRIES {
        taken += usize::from(exchange(&server, upload).await.is_ok());
    }
    taken
}

/// Returns all answers that end like this, each with the state of the upload, and what they are.
fn answers(end: &AnswerEnd) -> impl Iterator<Item = (String, BrokenAnswer)> {
    let cases = FRAMINGS.iter().flat_map(|framing| {
        let uploads = UploadRead::ALL.iter();
        uploads.flat_map(move |upload| [0, 1, 7].map(|sent| (framing, *upload, sent)))
    });
    cases.map(move |((framing, field, body), upload, sent)| {
        let text = format!("HTTP/1.1 200 OK\r\n{field}\r\n{}", &body[..sent]);
        let name = format!("{framing}, upload {upload:?}, {sent} bytes of the body, {end:?}");
        let answer = BrokenAnswer {
            upload,
            bytes: text.into_bytes(),
            end: end.clone(),
        };
        (name, answer)
    })
}

async fn assert_incomplete(end: AnswerEnd, is_complete: impl Fn(&str, UploadRead) -> bool) {
    let mut failed = Vec::new();
    for (name, answer) in answers(&end) {
        let taken = taken_for_whole(&answer, UPLOAD).await;
        let complete = is_complete(&name, answer.upload);
        if taken != if complete { TRIES } else { 0 } {
            failed.push(format!("{name}: whole in {taken} of {TRIES} tries"));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

/// After a write that failed because of the reset, the kernel tells the reader that the stream has
/// ended, as if the server had closed it.
#[tokio::test]
async fn an_answer_whose_connection_is_reset_is_incomplete() {
    assert_incomplete(AnswerEnd::Reset, |_, _| false).await;
}

/// A server that ends while it gets a request has not finished, and a process that is killed with an
/// empty receive buffer ends its connections without a reset.
#[tokio::test]
async fn an_answer_that_ends_is_complete_only_without_a_length_and_after_the_upload() {
    let is_complete =
        |name: &str, upload| name.starts_with("no length") && upload == UploadRead::Whole;
    assert_incomplete(AnswerEnd::Close, is_complete).await;
}

#[tokio::test]
async fn an_answer_whose_connection_is_reset_after_its_end_is_incomplete() {
    assert_incomplete(AnswerEnd::CloseAndReset, |_, _| false).await;
}

/// A server that is killed with an empty receive buffer ends its connections without a reset, and
/// resets them when more of the upload arrives.
#[tokio::test]
async fn an_answer_that_ends_while_the_rest_of_the_upload_is_on_its_way_is_incomplete() {
    let answer = BrokenAnswer {
        upload: UploadRead::Nothing,
        bytes: b"HTTP/1.1 200 OK\r\n\r\n0123".to_vec(),
        end: AnswerEnd::CloseAndReset,
    };
    assert_eq!(taken_for_whole(&answer, SENT_UPLOAD).await, 0);
}

/// Guards against a fix that gives up answers which are whole: a server may refuse an upload.
#[tokio::test]
async fn an_answer_with_its_whole_length_is_complete_whatever_becomes_of_the_upload() {
    for (framing, field, body) in &FRAMINGS[1..] {
        for upload in UploadRead::ALL {
            for end in [AnswerEnd::Reset, AnswerEnd::Close, AnswerEnd::Silent] {
                let text = format!("HTTP/1.1 413 Too Large\r\n{field}\r\n{body}");
                let name = format!("{framing}, {upload:?}, {end:?}");
                let bytes = text.into_bytes();
                let answer = BrokenAnswer { upload, bytes, end };
                let taken = taken_for_whole(&answer, UPLOAD).await;
                assert_eq!(taken, TRIES, "{name}");
            }
        }
    }
}

/// The largest head of an answer, in bytes.
const MAX_HEAD: usize = 64 << 10;
/// The largest body of an answer, in bytes, where it has no end.
const SMALL_BODY: usize = 64 << 10;
/// What a client may hold: a head and a body, of which one copy is made while a buffer grows.
const MAX_HELD: usize = 2 * (MAX_HEAD + SMALL_BODY);
/// After so many bytes of an answer without end a client that reads on holds no more than before.
const ENOUGH: u64 = 8 << 20;

#[tokio::test]
async fn an_answer_without_end_is_not_kept() {
    for part in EndlessPart::ALL {
        let server = BrokenServer::start(move |_| BrokenAnswer::endless(part, ""));
        let server = server.expect("a server");
        let options = KeepAliveOptions::SHORT;
        let client = Client::open(server.addr(), TIMEOUT, options, SMALL_BODY);
        let mut client = client.await.expect("a connection");
        let request = EncodedRequest::new("GET", "/", &Fields::default(), &[]);
        let mut held = 0;
        let may_use = |bytes: usize| {
            held = held.max(bytes);
            true
        };
        let exchange = client.exchange_within(&request, |_| true, may_use);
        let enough = async {
            while server.endless_bytes() < ENOUGH {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::select! {
            ended = exchange => assert!(ended.is_err(), "{part:?} is no response"),
            () = enough => {}
        }
        assert!(held <= MAX_HELD, "{part:?}: {held} bytes held");
    }
}
