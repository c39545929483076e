//! The command line: exit status, JSON and errors.

use std::process::Command;
use std::process::Output;

use carobshore_standin::server::ANY_PORT;
use carobshore_standin::server::Server;
use ntex::web;
use ntex::web::App;
use ntex::web::HttpResponse;

fn load(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_carobshore-load"))
        .args(args)
        .output()
        .expect("the binary runs")
}

/// Guards against a run that finds violations and still reports success.
#[test]
fn violations_give_a_failure_status_and_are_counted_in_the_json() {
    // Every response claims to be whole and belongs to a request that was never sent.
    let body = r#"{"target":"t","id":"other","bytes":0,"digest":"2d06800538d394c2"}"#;
    let app = async move || {
        App::new().default_service(web::to(async move || {
            HttpResponse::Ok()
                .header("carobshore-outcome", "whole")
                .header("carobshore-code", "0")
                .body(body)
        }))
    };
    let balancer = Server::start(ANY_PORT, app, |_| {}).unwrap();
    let entry = format!("--entry={}", balancer.addr());
    let args = [
        "run",
        &entry,
        "--service=status",
        "--rate=50",
        "--seconds=1",
        "--json",
    ];
    let output = load(&args);
    assert_eq!(output.status.code(), Some(1));
    let summary: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert!(summary["sent"].as_u64().unwrap() > 10);
    assert_eq!(summary["violations"], summary["sent"]);
    assert_eq!(summary["verdicts"]["mixed-up"], summary["sent"]);
}

#[test]
fn arguments_that_cannot_be_used_are_refused_with_what_is_allowed() {
    for (args, expected) in [
        (
            &["simulate", "--scenario=storm"][..],
            "`quiet`, `straggler`",
        ),
        (&["simulate", "--load=1.5"], "between 0 and 1"),
        (
            &["run", "--entry=127.0.0.1:1", "--service=s", "--mix=walk=1"],
            "`read`, `blob`",
        ),
        (
            &["run", "--entry=127.0.0.1:1", "--service=s", "--rate=-1"],
            "positive numbers",
        ),
        (&["added", "--turns=0"], "from 1 to 100"),
        (&["demo", "--seconds=500"], "between 0 and 20"),
    ] {
        let output = load(args);
        let error = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{args:?}");
        assert!(error.contains(expected), "{args:?}: {error}");
    }
}
