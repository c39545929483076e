//! Tests of `carobshore explain` on logs that gateways wrote in a burst. Guards against a story that
//! leaves out a line of the request, mixes in those of others, or loses the order of time.

use std::process::Command;

use expect_test::Expect;
use expect_test::expect;

/// Runs the command on recorded logs, and returns what it prints and its exit code.
fn explain(id: &str, logs: &[&str]) -> (String, Option<i32>) {
    let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/logs/");
    let files = logs.iter().map(|name| format!("{dir}{name}.log"));
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
fn a_refused_request_is_explained_by_the_best_target() {
    check(
        "cac9e908c413f7a4",
        &["failed", "refused"],
        &expect![[r#"
        2026-10-25 09:46:25.629614 +00:00 edge-1 request: id=cac9e908c413f7a4, left_out=0, ms=189, outcome=no-room, route=r-twstany, status=503, version=3, why=best of 13 is i-e6c641bfd5, 1.0 ahead, expected 504 ms
    "#]],
    );
}

#[test]
fn a_request_that_its_target_refused_is_explained_by_the_attempt() {
    check(
        "e7f137f7417e714e",
        &["refused", "failed"],
        &expect![[r#"
        2026-10-25 09:46:24.435662 +00:00 edge-2 attempt: end=not-run, expected_ms=503, id=e7f137f7417e714e, left_out=0, local=true, missing=false, ms=362, preferred=true, report=1 running, 0 waiting, 2 slots, pace 100, 36 ms old, target=i-45d4c7cb35
        2026-10-25 09:46:24.435663 +00:00 edge-2 request: attempts=i-45d4c7cb35:not-run, id=e7f137f7417e714e, left_out=0, ms=401, outcome=targets-refused, route=r-rwfi6e6, status=503, version=3
    "#]],
    );
}

#[test]
fn an_id_that_no_line_names_is_told_so() {
    let (text, code) = explain("0000000000000000", &["refused"]);
    assert_eq!(
        text,
        "no line of the logs names the request 0000000000000000\n"
    );
    assert_eq!(code, Some(1));
}

/// A log may be cut off in the middle of a line, and hold lines of other programs.
#[test]
fn lines_that_are_none_of_the_log_are_passed_over() {
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
