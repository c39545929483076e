//! Guards against callers that get an incomplete answer of a target as a whole one, or one that is no
//! answer in the protocol.

mod common;

use std::time::Duration;

use carobshore_standin::broken_server::AnswerEnd;
use carobshore_standin::broken_server::BrokenAnswer;
use carobshore_standin::broken_server::BrokenServer;
use carobshore_standin::broken_server::OTHER_CODINGS;
use carobshore_standin::broken_server::UploadRead;

use common::RawResponse;
use common::field;
use common::raw_exchange;
use common::vm::Vm;

/// How long a caller waits for more of a response.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// More than the kernel takes of an upload that nobody reads, in bytes.
const UPLOAD: usize = 8 << 20;
/// The body of the answer.
const BODY: &str = "the whole body";

/// Sends a POST to a VM whose only target gives this answer.
fn post(answer: &BrokenAnswer, body: &str) -> RawResponse {
    let answer = answer.clone();
    let target = BrokenServer::start(move |_| answer.clone()).expect("a target");
    let vm = Vm::alone(&[target.addr()], &["--max-body=16MiB"]);
    let length = body.len();
    let request = format!(
        "POST / HTTP/1.1\r\nhost: status\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    raw_exchange(vm.listen, request.as_bytes(), IDLE_TIMEOUT)
}

/// Returns whether a caller takes the response for a whole answer of the target.
fn is_whole(response: &RawResponse) -> bool {
    let text = &response.text;
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    if field(text, "carobshore-outcome") != Some("whole") {
        return false;
    }
    let chunked = head.contains("transfer-encoding: chunked");
    match field(text, "content-length").and_then(|length| length.parse().ok()) {
        Some(length) => body.len() >= length,
        None if chunked => body.ends_with("0\r\n\r\n"),
        None => response.closed,
    }
}

/// Checks that no caller takes one of the answers for a whole one. Each has a name.
fn assert_rejected(answers: impl Iterator<Item = (String, BrokenAnswer)>, body: &str) {
    let mut failed = Vec::new();
    for (name, answer) in answers {
        let response = post(&answer, body);
        if is_whole(&response) {
            failed.push(format!("{name}: {}", response.text));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

fn whole() -> String {
    let length = BODY.len();
    format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\nx-field: a\r\n\r\n{BODY}")
}

#[test]
fn a_whole_answer_of_the_target_gets_through() {
    let response = post(&BrokenAnswer::new(whole(), AnswerEnd::Open), "x");
    assert!(is_whole(&response), "{}", response.text);
    assert!(response.text.ends_with(BODY));
}

#[test]
fn an_answer_that_breaks_off_during_an_upload_is_not_whole() {
    let framings = [
        ("no length", "", BODY),
        ("a length", "content-length: 14\r\n", BODY),
        (
            "chunks",
            "transfer-encoding: chunked\r\n",
            "e\r\nthe whole body\r\n0\r\n\r\n",
        ),
    ];
    let ends = [AnswerEnd::Reset, AnswerEnd::Close, AnswerEnd::CloseAndReset];
    let cases = framings.iter().flat_map(|(framing, fields, body)| {
        let ends = ends.iter();
        ends.flat_map(move |end| {
            UploadRead::ALL.into_iter().flat_map(move |upload| {
                [0, 8].map(|sent| {
                    let text = format!("HTTP/1.1 200 OK\r\n{fields}\r\n{}", &body[..sent]);
                    let answer = BrokenAnswer {
                        upload,
                        bytes: text.into_bytes(),
                        end: end.clone(),
                    };
                    (format!("{framing}, {upload:?}, {sent}, {end:?}"), answer)
                })
            })
        })
    });
    assert_rejected(cases, &"x".repeat(UPLOAD));
}

#[test]
fn an_answer_whose_status_is_no_number_from_100_on_is_no_answer() {
    let statuses = [
        "000", "001", "010", "042", "099", "", " ", "2", "20", "2000", "0200", "00200", "00", "0",
        "0000", "20x", "x00", "+20", "-20", "2 0", "2e2", "0x2", "2\t0", "٢٠٠",
    ];
    let cases = statuses.iter().map(|status| {
        let broken = whole().replacen("200", status, 1);
        (status, format!("{broken}{}", whole()))
    });
    let cases = cases.map(|(status, text)| {
        (
            format!("{status:?}"),
            BrokenAnswer::new(text, AnswerEnd::Close),
        )
    });
    assert_rejected(cases, "x");
}

#[test]
fn an_answer_with_a_blank_or_control_byte_at_a_name_is_no_answer() {
    let cases = (0..=b' ').chain([0x7f]).flat_map(|byte| {
        ["x-field", "content-length"]
            .into_iter()
            .flat_map(move |name| {
                [0, name.len() / 2, name.len()].map(|at| {
                    let broken = format!("{}{}{}", &name[..at], char::from(byte), &name[at..]);
                    let text = whole().replacen(name, &broken, 1);
                    let answer = BrokenAnswer::new(text, AnswerEnd::Close);
                    (format!("byte {byte:#04x} at {at} of {name}"), answer)
                })
            })
    });
    assert_rejected(cases, "x");
}

/// Guards against a caller that gets the bytes of a coding for the body, because the field that names it
/// is for one connection only.
#[test]
fn an_answer_in_a_transfer_coding_besides_chunks_is_not_whole() {
    let chunks = format!("{:x}\r\n{BODY}\r\n0\r\n\r\n", BODY.len());
    let answered = |codings: &[&str]| {
        let field = |coding: &&str| format!("transfer-encoding: {coding}\r\n");
        let fields: String = codings.iter().map(field).collect();
        let text = format!("HTTP/1.1 200 OK\r\n{fields}\r\n{chunks}");
        BrokenAnswer::new(text, AnswerEnd::Close)
    };
    let response = post(&answered(&["chunked"]), "x");
    assert!(is_whole(&response), "{}", response.text);
    let cases = OTHER_CODINGS.map(|codings| (format!("{codings:?}"), answered(codings)));
    assert_rejected(cases.into_iter(), "x");
}

/// Guards against a VM that fails over a name which is longer than the HTTP library allows.
#[test]
fn an_answer_with_a_name_of_any_length_is_no_answer() {
    let lengths = [
        32 << 10,
        65_000,
        65_520,
        65_535,
        65_536,
        65_600,
        70_000,
        100_000,
    ];
    let cases = lengths.into_iter().map(|length| {
        let text = whole().replacen("x-field", &"x".repeat(length), 1);
        let answer = BrokenAnswer::new(text, AnswerEnd::Close);
        (format!("a name of {length} bytes"), answer)
    });
    let cases: Vec<_> = cases.collect();
    for (name, answer) in &cases {
        let response = post(answer, "x");
        let outcome = field(&response.text, "carobshore-outcome");
        let passed = is_whole(&response) && response.text.ends_with(BODY);
        assert!(
            passed || outcome == Some("may-have-run"),
            "{name}: {}",
            &response.text[..response.text.len().min(300)]
        );
    }
}
