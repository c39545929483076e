//! Tests of `carobshore explain` on logs that gateways wrote during a burst. They guard against output
//! that omits a line of the request, includes lines of other requests, or is not sorted by time.

use std::process::Command;

use expect_test::Expect;
use expect_test::expect;

/// Runs the command on recorded logs and returns its standard output and exit code.
fn explain(id: &str, logs: &[&str]) -> (String, Option<i32>) {
    let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/logs/");
    let files = logs.iter().map(|name| format!("{dir}{name}.jsonl"));
    let output = Command::new(env!("CARGO_BIN_EXE_carobshore"))
        .args(["explain", id])
        .args(files)
        .output()
        .expect("the command runs");
    let text = String::from_utf8(output.stdout).expect("text");
    (text, output.status.code())
}

fn check(id: &str, logs: &[&str], expected: &Expect) {
    let (text, code) = explain(id, logs);
    assert_eq!(code, Some(0), "{text}");
    expected.assert_eq(&text);
}

#[test]
fn a_request_refused_by_the_gateway_shows_the_best_target() {
    check(
        "a557deea13bc0119",
        &["failed", "refused"],
        &expect![[r#"
            2026-09-25 23:37:18.430221 +00:00 edge-1 another VM does not hand changes on: from=10.3.0.11:7360, reason=status 503, topic=Operators
            2026-09-25 23:37:18.430237 +00:00 edge-1 another VM is asked for changes: cut=false, from=10.3.0.8:7360, topic=Operators
            2026-09-25 23:37:18.443292 +00:00 edge-1 the configuration is in force: routes=19, version=7
            2026-09-25 23:37:19.079808 +00:00 edge-1 another VM does not hand changes on: from=10.3.0.11:7360, reason=status 503, topic=Targets
            2026-09-25 23:37:19.079824 +00:00 edge-1 another VM is asked for changes: cut=false, from=10.3.0.8:7360, topic=Targets
            2026-09-25 23:37:20.770412 +00:00 edge-1 request: id=a557deea13bc0119, left_out=0, ms=230, outcome=no-room, route=r-9pmwhjf, status=503, version=7, why=best of 16 is i-0d0bf137e1, 1.0 ahead, expected 404 ms
        "#]],
    );
}

#[test]
fn a_request_refused_by_its_targets_shows_the_attempts() {
    check(
        "1da0b71ac2d96fae",
        &["refused", "failed"],
        &expect![[r#"
            2026-09-25 23:37:29.539888 +00:00 edge-2 the configuration is in force: routes=19, version=14
            2026-09-25 23:37:30.118901 +00:00 edge-2 attempt: end=not-run, expected_ms=319, id=1da0b71ac2d96fae, left_out=0, local=true, missing=false, ms=0, preferred=true, report=0 running, 0 waiting, 2 slots, pace 100, 0 ms old, target=i-d178d2c2ee
            2026-09-25 23:37:30.131841 +00:00 edge-2 attempt: end=not-run, expected_ms=416, id=1da0b71ac2d96fae, left_out=0, local=false, missing=false, ms=2, preferred=false, report=0 running, 0 waiting, 2 slots, pace 100, 0 ms old, target=i-a925511257
            2026-09-25 23:37:30.131843 +00:00 edge-2 request: attempts=i-d178d2c2ee:not-run i-a925511257:not-run, id=1da0b71ac2d96fae, left_out=0, ms=13, outcome=targets-refused, route=r-yw8c67a, status=503, version=14
        "#]],
    );
}

#[test]
fn an_unknown_request_id_is_reported() {
    let (text, code) = explain("0000000000000000", &["refused"]);
    assert_eq!(
        text,
        "no line of the logs names the request 0000000000000000\n"
    );
    assert_eq!(code, Some(1));
}

/// A log may be truncated in the middle of a line, and contain lines of other programs.
#[test]
fn unparsable_lines_are_skipped() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_carobshore"))
        .args(["explain", "id-1"])
        .stdin(std::process::Stdio::piped())
        .stdout(std::process::Stdio::piped())
        .spawn()
        .expect("the command runs");
    let log = concat!(
        "something else\n",
        "edge-1 {\"timestamp\":\"2026-01-01 00:00:01\",\"kv\":{\"id\":\"id-1\",\"ms\":5},\"text\":\"request\"}\n",
        "edge-1 {\"timestamp\":\"2026-01-01 00:00:02\",\"kv\":{\"id\":\"id-1\",\"m",
    );
    let mut input = child.stdin.take().expect("its input");
    std::io::Write::write_all(&mut input, log.as_bytes()).expect("a write");
    drop(input);
    let output = child.wait_with_output().expect("its output");
    let text = String::from_utf8(output.stdout).expect("text");
    assert_eq!(text, "2026-01-01 00:00:01 edge-1 request: id=id-1, ms=5\n");
}
