//! Guards against clients that get an incomplete answer of a target as a whole one, or one that is no
//! answer in the protocol.

mod common;

use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;

use carobshore_http::head::RequestHead;
use carobshore_standin::broken_server::AnswerEnd;
use carobshore_standin::broken_server::BrokenAnswer;
use carobshore_standin::broken_server::BrokenServer;
use carobshore_standin::broken_server::OTHER_CODINGS;
use carobshore_standin::broken_server::UploadRead;
use carobshore_standin::raw_server::lock;
use carobshore_standin::site_store::OPERATORS;
use carobshore_standin::site_wire;
use carobshore_standin::site_wire::INSTANCE;
use carobshore_standin::site_wire::REQUEST_ID;
use carobshore_standin::site_wire::RESPONSE_SIGNATURE;

use crate::common::Gateway;
use crate::common::Site;
use crate::common::call;
use crate::common::connect;
use crate::common::request;
use crate::common::routes;
use crate::common::site;
use crate::common::wait;

/// More than the kernel takes of an upload that nobody reads, in bytes.
const UPLOAD: usize = 16 << 20;
/// An upload that the kernel takes as a whole, but the target does not, in bytes.
const SENT_UPLOAD: usize = 400 << 10;
/// How often an upload is tried, because the order of a read and a write decides.
const UPLOADS: usize = 40;
/// The time that a client leaves for an upload, in milliseconds.
const UPLOAD_MS: u64 = 10_000;
/// The body of the answer.
const BODY: &str = "the whole body";

/// A gateway in front of one target whose answers are broken.
struct BrokenTarget {
    gateway: Gateway,
    answer: Arc<Mutex<Option<BrokenAnswer>>>,
    /// The ids of the requests that the target got.
    ids: Arc<Mutex<Vec<String>>>,
    _server: BrokenServer,
    _site: Site,
}

impl BrokenTarget {
    fn start(name: &str) -> Self {
        Self::start_with(name, health())
    }

    /// Starts a target that answers health checks like this.
    fn start_with(name: &str, health: BrokenAnswer) -> Self {
        let answer = Arc::new(Mutex::new(None));
        let ids = Arc::new(Mutex::new(Vec::new()));
        let (shared, seen) = (Arc::clone(&answer), Arc::clone(&ids));
        let server = BrokenServer::start(move |head| {
            let answer = lock(&shared).clone();
            match answer.filter(|_| &*head.target != "/health") {
                Some(answer) => {
                    lock(&seen).push(id_of(head).to_owned());
                    with_id(answer, id_of(head))
                }
                None => health.clone(),
            }
        })
        .expect("a server");
        let site = site(name, 1);
        site.targets[0].announce_at(&site.store, "ready", server.addr());
        let document = site_wire::configuration(2, &routes(UPLOAD_MS, "status"));
        let document = document.replace("1000000", &UPLOAD.to_string());
        site.store
            .put(OPERATORS, "config", Some(document.as_bytes()));
        let gateway = site.gateway("edge-1");
        wait("the configuration is in force", || {
            gateway.dump().contains("\"version\":2")
        });
        Self {
            gateway,
            answer,
            ids,
            _server: server,
            _site: site,
        }
    }

    /// Sends a request that must not be repeated, which gets this answer of the target. Returns the
    /// status and the body that the client gets.
    fn call(&self, id: &str, answer: BrokenAnswer, body: &str) -> (u16, String) {
        *lock(&self.answer) = Some(answer);
        let text = request("unsafe", id, UPLOAD_MS, body);
        let response = call(self.gateway.callers, &text);
        let runs = lock(&self.ids).iter().filter(|run| *run == id).count();
        assert!(runs <= 1, "{id} was sent {runs} times");
        (response.head.status, response.body)
    }

    /// Checks that the client of each answer is told that nothing is known. Each has a name.
    fn assert_rejected(&self, answers: impl Iterator<Item = (String, BrokenAnswer)>) {
        let mut failed = Vec::new();
        for (index, (name, answer)) in answers.enumerate() {
            let (status, body) = self.call(&format!("id-{index}"), answer, "x");
            if status != 502 {
                failed.push(format!("{name}: {status}, {body:?}"));
            }
        }
        assert!(failed.is_empty(), "{}", failed.join("\n"));
    }
}

/// Stands in an answer for the id of its request.
const ID: &str = "{id}";

fn id_of(head: &RequestHead) -> &str {
    head.fields.text(REQUEST_ID).unwrap_or_default()
}

fn with_id(answer: BrokenAnswer, id: &str) -> BrokenAnswer {
    let start = answer.bytes.windows(ID.len());
    let at = start.into_iter().position(|part| part == ID.as_bytes());
    let Some(at) = at else { return answer };
    let bytes = [
        &answer.bytes[..at],
        id.as_bytes(),
        &answer.bytes[at + ID.len()..],
    ]
    .concat();
    with_id(BrokenAnswer { bytes, ..answer }, id)
}

fn health() -> BrokenAnswer {
    let text = format!("HTTP/1.1 200 OK\r\n{INSTANCE}: i-0\r\nContent-Length: 0\r\n\r\n");
    BrokenAnswer::new(text, AnswerEnd::Open)
}

/// Returns an answer with this start line, and these fields besides the id and the signature.
fn answer(start: &str, fields: &str, body: &str) -> String {
    format!("{start}\r\n{REQUEST_ID}: {ID}\r\n{RESPONSE_SIGNATURE}: s\r\n{fields}\r\n{body}")
}

fn whole() -> String {
    let fields = format!("Content-Length: {}\r\n", BODY.len());
    answer("HTTP/1.1 200 OK", &fields, BODY)
}

#[test]
fn whole_answers_of_the_target_get_through() {
    let target = BrokenTarget::start("broken-whole");
    let with_end = answer("HTTP/1.1 200 OK", "", BODY);
    let kept = BrokenAnswer::new(whole(), AnswerEnd::Open);
    let ended = BrokenAnswer::new(with_end, AnswerEnd::Close);
    for (id, answer) in [("a", kept.clone()), ("b", ended), ("c", kept)] {
        let got = target.call(id, answer, "x");
        assert_eq!(got, (200, BODY.to_owned()), "{id}");
    }
}

/// The incident: the client got the part as a whole answer.
#[test]
fn an_answer_without_a_length_that_is_reset_during_the_upload_is_no_success() {
    let target = BrokenTarget::start("broken-upload-reset");
    let upload = "x".repeat(UPLOAD);
    for try_ in 0..UPLOADS {
        let answer = BrokenAnswer {
            upload: UploadRead::Part,
            bytes: answer("HTTP/1.1 200 OK", "", &BODY[..5]).into_bytes(),
            end: AnswerEnd::Reset,
        };
        let got = target.call(&format!("id-{try_}"), answer, &upload);
        assert_eq!(got.0, 502, "try {try_}: {got:?}");
    }
}

#[test]
fn an_answer_without_a_length_that_ends_during_the_upload_is_no_success() {
    let target = BrokenTarget::start("broken-upload-end");
    let upload = "x".repeat(UPLOAD);
    for end in [AnswerEnd::Close, AnswerEnd::CloseAndReset] {
        for read in [UploadRead::Nothing, UploadRead::Part] {
            let answer = BrokenAnswer {
                upload: read,
                bytes: answer("HTTP/1.1 200 OK", "", &BODY[..5]).into_bytes(),
                end: end.clone(),
            };
            let got = target.call(&format!("{end:?}-{read:?}"), answer, &upload);
            assert_eq!(got.0, 502, "{end:?}, {read:?}: {got:?}");
        }
    }
}

/// A server that is killed ends its connections without a reset, and resets them when more arrives.
#[test]
fn an_answer_without_a_length_that_is_reset_after_its_end_is_no_success_if_the_upload_is_on_its_way()
 {
    let target = BrokenTarget::start("broken-upload-sent");
    let answer = BrokenAnswer {
        upload: UploadRead::Nothing,
        bytes: answer("HTTP/1.1 200 OK", "", &BODY[..5]).into_bytes(),
        end: AnswerEnd::CloseAndReset,
    };
    let got = target.call("id", answer, &"x".repeat(SENT_UPLOAD));
    assert_eq!(got.0, 502, "{got:?}");
}

/// The status is followed by what would be a whole answer, as the body or on its own.
#[test]
fn an_answer_whose_status_is_below_100_is_no_answer() {
    let target = BrokenTarget::start("broken-status");
    let statuses = ["000", "001", "010", "042", "099"];
    let cases = statuses.iter().flat_map(|status| {
        let start = format!("HTTP/1.1 {status} Trouble");
        let alone = answer(&start, "", "");
        let length = format!("Content-Length: {}\r\n", whole().len());
        let around = answer(&start, &length, &whole());
        let bare = format!("{start}\r\n\r\n{}", whole());
        let named = |text, what| {
            let name = format!("{status}, {what}");
            (name, BrokenAnswer::new(text, AnswerEnd::Close))
        };
        [
            named(alone, "alone"),
            named(around, "around a whole answer"),
            named(bare, "before a whole answer"),
        ]
    });
    target.assert_rejected(cases);
}

#[test]
fn an_answer_whose_status_has_other_than_three_digits_is_no_answer() {
    let target = BrokenTarget::start("broken-digits");
    let statuses = [
        "", " ", "2", "20", "2000", "0200", "00200", "00", "0", "0000", "20x", "x00", "+20", "-20",
        "2 0", "2e2", "0x2", " 200", "2\t0", "٢٠٠",
    ];
    let cases = statuses.iter().map(|status| {
        let text = whole().replacen("200", status, 1);
        let answer = BrokenAnswer::new(text, AnswerEnd::Close);
        (format!("{status:?}"), answer)
    });
    target.assert_rejected(cases);
}

#[test]
fn an_answer_with_a_blank_or_control_byte_at_a_name_is_no_answer() {
    let target = BrokenTarget::start("broken-names");
    let heads = [
        ("X-Field: a\r\n", "X-Field"),
        (
            "X-Field-Of-Many-Letters-In-A-Row-And-More: a\r\n",
            "X-Field-Of-Many-Letters-In-A-Row-And-More",
        ),
        ("", "Content-Length"),
    ];
    let cases = (0..=b' ').chain([0x7f]).flat_map(|byte| {
        heads.iter().flat_map(move |(field, name)| {
            let cut = name.len() / 2;
            [0, cut, name.len()].map(|at| {
                let length = format!("Content-Length: {}\r\n", BODY.len());
                let text = answer("HTTP/1.1 200 OK", &format!("{length}{field}"), BODY);
                let broken = format!("{}{}{}", &name[..at], char::from(byte), &name[at..]);
                let text = text.replacen(name, &broken, 1);
                let answer = BrokenAnswer::new(text, AnswerEnd::Close);
                (format!("byte {byte:#04x} at {at} of {name}"), answer)
            })
        })
    });
    target.assert_rejected(cases);
}

/// Guards against a client that gets the bytes of a coding for the body, because the field that names it
/// is for one connection only.
#[test]
fn an_answer_in_a_transfer_coding_besides_chunks_is_no_answer() {
    let target = BrokenTarget::start("broken-codings");
    let chunks = format!("{:x}\r\n{BODY}\r\n0\r\n\r\n", BODY.len());
    let answered = |fields: &str| {
        let text = answer("HTTP/1.1 200 OK", fields, &chunks);
        BrokenAnswer::new(text, AnswerEnd::Open)
    };
    for (at, coding) in ["chunked", "Chunked", " chunked "].into_iter().enumerate() {
        let whole = answered(&format!("Transfer-Encoding: {coding}\r\n"));
        let got = target.call(&format!("whole-{at}"), whole, "x");
        assert_eq!(got, (200, BODY.to_owned()), "{coding:?}");
    }
    let cases = OTHER_CODINGS.map(|codings| {
        let field = |coding: &&str| format!("Transfer-Encoding: {coding}\r\n");
        let fields: String = codings.iter().map(field).collect();
        (format!("{codings:?}"), answered(&fields))
    });
    target.assert_rejected(cases.into_iter());
}

/// The slots of the target that this takes are all that it has.
const SLOTS: u32 = 2;

/// Takes all slots of a target that answers health checks like this, so that the next request makes the
/// gateway check it. Returns how many checks count as answered, and how many as failed.
fn checks(name: &str, health: BrokenAnswer) -> [u64; 2] {
    let target = BrokenTarget::start_with(name, health);
    *lock(&target.answer) = Some(BrokenAnswer::new("", AnswerEnd::Silent));
    let send = |id: String| {
        let mut stream = connect(target.gateway.callers).expect("a connection");
        let text = request("unsafe", &id, UPLOAD_MS, "x");
        stream.write_all(text.as_bytes()).expect("a write");
        stream
    };
    let mut waiting: Vec<_> = (0..SLOTS).map(|at| send(format!("id-{at}"))).collect();
    wait("all slots are taken", || {
        lock(&target.ids).len() == SLOTS as usize
    });
    waiting.push(send("id-more".to_owned()));
    let count = |end: &str| {
        let metrics = target.gateway.metrics();
        let is_end = |line: &&str| line.contains("health_checks") && line.contains(end);
        let line = metrics.lines().find(is_end).map(str::to_owned);
        let count = line.and_then(|line| line.split_whitespace().last()?.parse().ok());
        count.unwrap_or(0)
    };
    let counts = || [count("without-load") + count("answered"), count("failed")];
    wait("the target is checked", || counts() != [0, 0]);
    counts()
}

#[test]
fn a_broken_answer_to_a_health_check_is_none() {
    assert_eq!(checks("health-whole", health())[1], 0);
    let whole = String::from_utf8(health().bytes).expect("a text");
    let around = format!(
        "HTTP/1.1 000 Trouble\r\nContent-Length: {}\r\n\r\n{whole}",
        whole.len()
    );
    let answers = [
        ("health-status", around),
        ("health-digits", whole.replacen("200", "20", 1)),
        (
            "health-name",
            whole.replacen("Content-Length:", "Content-Length :", 1),
        ),
        (
            "health-lf",
            whole.replacen("Content-Length", "\nContent-Length", 1),
        ),
    ];
    for (name, text) in answers {
        let [answered, failed] = checks(name, BrokenAnswer::new(text, AnswerEnd::Close));
        assert!(
            answered == 0 && failed > 0,
            "{name}: {answered} answered, {failed} failed"
        );
    }
}
