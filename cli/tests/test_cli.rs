//! Tests of the client's output, exit codes and error messages.

mod session;

use std::net::SocketAddr;

use carobshore_standin::LogFaults;
use carobshore_standin::Trigger;
use expect_test::expect;
use jsonrpsee::RpcModule;
use jsonrpsee::server::Server;
use jsonrpsee::server::ServerHandle;
use serde_json::Value;
use serde_json::json;
use session::Session;
use session::combined_output;
use session::command;

/// An address on which nothing listens.
const UNREACHABLE: &str = "127.0.0.1:1";

/// Guards against errors that do not tell the operator what to do next, and against exit codes that
/// scripts would take for another kind of failure.
#[test]
fn errors_name_the_next_step() {
    let mut session = Session::new();
    session.run("gwen", &["history"]);
    session.run("gwen", &["plan"]);
    session.run("gwen", &["intent"]);
    session.run("gwen", &["intent", "set-slots status/status-1 4"]);
    session.run("gwen", &["intent", "set-slots status 4"]);
    session.run(
        "gwen",
        &["intent", "add-service status measuring=30ms/s extra=1"],
    );
    session.run("Gwen", &["intent", "remove-service status"]);
    session.run("gwen", &["intent", "--file", "no-such-file"]);
    session.run("gwen", &["plan", "17"]);
    let unknown = "01890a5d-ac96-774b-bcce-b302099a8057";
    session.run("gwen", &["plan", unknown]);
    session.run("gwen", &["confirm", unknown, "--digest", "12"]);
    session.run("gwen", &["confirm", unknown, "--digest", "0123456789ab"]);
    session.run("gwen", &["status"]);
    session.log.set_faults(LogFaults {
        refuse: Trigger::ALWAYS,
        ..LogFaults::default()
    });
    session.run("gwen", &["--timeout", "1", "history"]);
    session.run("gwen", &["--timeout", "1", "--json", "history"]);
    expect![[r#"
        gwen$ carobshore history
        nothing was confirmed yet; publish a change with `carobshore intent`
        [0]

        gwen$ carobshore plan
        no intent waits for a confirm; publish one with `carobshore intent`
        [0]

        gwen$ carobshore intent
        error [1004]: no change is given
          next: give changes as arguments or with --file; `carobshore intent --help` lists their forms
        [2]

        gwen$ carobshore intent 'set-slots status/status-1 4'
        error [2003]: change 1: there is no service `status`
          next: add it with `add-service` in the same intent, or look up its name with `carobshore status`
        [1]

        gwen$ carobshore intent 'set-slots status 4'
        error: invalid value 'set-slots status 4' for '[CHANGE]...': [1004] `set-slots` needs SERVICE/TARGET; a change has one of these forms: add-service SERVICE measuring=BUDGET [connections=N]; remove-service SERVICE; set-measuring SERVICE BUDGET; set-connections SERVICE N; add-target SERVICE/TARGET addr=IP:PORT domain=DOMAIN slots=N; remove-target SERVICE/TARGET; mark-leaving SERVICE/TARGET; set-slots SERVICE/TARGET N; set-route ROUTE host=HOST prefix=/PATH/ to=SERVICE[:WEIGHT][,SERVICE:WEIGHT] kind=safe|unsafe|upload [timeout=MS] [attempts=N]; remove-route ROUTE

        For more information, try '--help'.
        [2]

        gwen$ carobshore intent 'add-service status measuring=30ms/s extra=1'
        error: invalid value 'add-service status measuring=30ms/s extra=1' for '[CHANGE]...': [1004] `extra` is unexpected in `add-service status measuring=30ms/s extra=1`; a change has one of these forms: add-service SERVICE measuring=BUDGET [connections=N]; remove-service SERVICE; set-measuring SERVICE BUDGET; set-connections SERVICE N; add-target SERVICE/TARGET addr=IP:PORT domain=DOMAIN slots=N; remove-target SERVICE/TARGET; mark-leaving SERVICE/TARGET; set-slots SERVICE/TARGET N; set-route ROUTE host=HOST prefix=/PATH/ to=SERVICE[:WEIGHT][,SERVICE:WEIGHT] kind=safe|unsafe|upload [timeout=MS] [attempts=N]; remove-route ROUTE

        For more information, try '--help'.
        [2]

        Gwen$ carobshore intent 'remove-service status'
        error: invalid value 'Gwen' for '--operator <ID>': [1001] `Gwen` is not a valid operator id; use 1 to 63 lower-case letters, digits, `-` and `.`, starting with a letter or digit

        For more information, try '--help'.
        [2]

        gwen$ carobshore intent --file no-such-file
        error [1004]: the changes in no-such-file cannot be read: No such file or directory (os error 2)
          next: give a text file with one change a line; nothing was published
        [2]

        gwen$ carobshore plan 17
        error: invalid value '17' for '[INTENT]': [2001] `17` is not a valid record id; use the id that `carobshore plan` or `carobshore history` prints

        For more information, try '--help'.
        [2]

        gwen$ carobshore plan ID-0
        error [2005]: no intent ID-0 waits for a confirm
          next: list the waiting intents with `carobshore plan`, or publish it again with `carobshore intent`
        [1]

        gwen$ carobshore confirm ID-0 --digest 12
        error [1004]: `12` is not a digest
          next: copy the digest, or at least its first 12 digits, from `carobshore plan`
        [2]

        gwen$ carobshore confirm ID-0 --digest 0123456789ab
        error [2005]: no intent ID-0 waits for a confirm
          next: list the waiting intents with `carobshore plan`, or publish it again with `carobshore intent`
        [1]

        gwen$ carobshore status
        error: the following required arguments were not provided:
          --vm <IP:PORT>

        Usage: carobshore status --vm <IP:PORT> --log <IP:PORT> --timeout <SECONDS>

        For more information, try '--help'.
        [2]

        gwen$ carobshore --timeout 1 history
        error [2006]: the log at LOG did not answer within 1 s
          next: the configuration in force is not affected; check --log or CAROBSHORE_LOG and repeat the command when the log answers
        [3]

        gwen$ carobshore --timeout 1 --json history
        {"error":{"code":2006,"help":"the configuration in force is not affected; check --log or CAROBSHORE_LOG and repeat the command when the log answers","message":"the log at LOG did not answer within 1 s"}}
        [3]

    "#]].assert_eq(&session.transcript());
}

/// Guards against treating a log whose old records have expired as an empty configuration.
#[test]
fn expired_records_are_an_error() {
    let mut session = Session::new();
    session.publish_and_confirm("gwen", &["add-service status measuring=30ms/s"]);
    session.log.expire_before(1);
    session.run("gwen", &["history"]);
    expect![[r#"
        gwen$ carobshore history
        error [2007]: the log retains only the records from offset 1 on, but those from 0 on are needed, and it has no usable snapshot
          next: keep at least one ready VM running: it serves its configuration to the others and appends a snapshot
        [1]

    "#]].assert_eq(&session.transcript());
}

/// Guards against publishing only some changes of a file when a later line is invalid.
#[test]
fn a_file_of_changes_is_published_whole_or_not_at_all() {
    let session = Session::new();
    let path = std::env::temp_dir().join(format!("carobshore-changes-{}", std::process::id()));
    let file = path.to_str().unwrap();
    let good = "# the rack\nadd-service rack measuring=1ms/s\n\nadd-target rack/r-1 addr=10.0.0.9:80 domain=a slots=2\n";
    std::fs::write(&path, good).unwrap();
    let plan = session.json(
        "gwen",
        &["intent", "--file", file, "set-measuring rack 2ms/s"],
    );
    std::fs::write(
        &path,
        format!("{good}add-target rack/r-2 domain=a slots=2\n"),
    )
    .unwrap();
    let output = command(session.log.addr(), "gwen")
        .args(["intent", "--file", file])
        .output()
        .unwrap();
    std::fs::remove_file(&path).unwrap();
    assert_eq!(plan["error"], Value::Null);
    assert_eq!(output.status.code(), Some(2));
    let text = combined_output(&output);
    assert!(text.contains("line 5: `addr=` is missing"), "{text}");
    assert_eq!(session.log.records().len(), 1);
}

/// Starts an RPC server that responds to `dump` with the given JSON, as a VM does.
async fn start_vm(dump: Value) -> (SocketAddr, ServerHandle) {
    let server = Server::builder().build("127.0.0.1:0").await.unwrap();
    let addr = server.local_addr().unwrap();
    let mut module = RpcModule::new(dump);
    module
        .register_method("dump", |_, dump, _| dump.clone())
        .unwrap();
    (addr, server.start(module))
}

fn dump(vm: &str, applied: u64, slots: u32) -> Value {
    let target = |addr: &str, state: &str| json!({"addr": addr, "domain": "tawe-a", "slots": slots, "generation": 1, "state": state});
    json!({
        "vm": vm,
        "domain": "tawe-a",
        "ready": true,
        "applied": applied,
        "services": {
            "status": {
                "version": 3,
                "measuring": 30_000,
                "connections": 240,
                "targets": {
                    "status-1": target("10.0.0.1:80", "serving"),
                    "status-2": target("10.0.0.2:80", "leaving"),
                },
            },
            "rack": {"measuring": 1_000, "targets": 7},
        },
        "data": {
            "services": {
                "status": {
                    "owned": {
                        "in_flight": 3,
                        "queued": 1,
                        "targets": [{"id": "status-1", "usable": true, "in_flight": 3}],
                    },
                },
                "unknown": {"owned": 7},
            },
        },
    })
}

fn status(vms: &[SocketAddr], args: &[&str]) -> (Option<i32>, String) {
    let list: Vec<_> = vms.iter().map(ToString::to_string).collect();
    let output = command(UNREACHABLE.parse().unwrap(), "gwen")
        .env("CAROBSHORE_VMS", list.join(","))
        .args(args)
        .output()
        .unwrap();
    let mut text = combined_output(&output);
    for (index, addr) in list.iter().enumerate() {
        let width = addr.len();
        text = text.replace(addr, &format!("{:width$}", format!("VM-{index}")));
    }
    (output.status.code(), text)
}

/// Guards against a status that fails on a dump without some fields, hides a VM that lags or does
/// not respond, or shows the configuration of a lagging VM.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn status_tolerates_missing_fields_and_lagging_vms() {
    let (first, _first) = start_vm(dump("entry-1.00000001", 41, 2)).await;
    let (second, _second) = start_vm(dump("entry-2.00000001", 44, 8)).await;
    let (third, _third) = start_vm(json!({"vm": 7, "services": []})).await;
    let all = [first, second, third, UNREACHABLE.parse().unwrap()];
    let (code, text) = status(&all, &["status"]);
    expect![[r#"
        vm                address          domain  ready        applied  lag
        entry-1.00000001  VM-0             tawe-a  yes          41       3
        entry-2.00000001  VM-1             tawe-a  yes          44       0
        -                 VM-2             -       -            -        -
        -                 VM-3             -       unreachable  -        -

        service  version  targets  serving  slots  in flight  queued  measuring  connections
        rack     -        0        0        0      -          -       1000us/s   -
        status   3        2        1        8      6          2       30000us/s  240

        target           address      domain  slots  state    home              usable  in flight
        status/status-1  10.0.0.1:80  tawe-a  8      serving  entry-2.00000001  yes     3
        status/status-2  10.0.0.2:80  tawe-a  8      leaving  -                 -       -

        warning [6002]: the VM at VM-3        gave no dump: client error (Connect)
          next: check the address of its control port; the platform's VM list shows whether it is live
    "#]].assert_eq(&text);
    assert_eq!(code, Some(3));
    let (code, text) = status(&all[..2], &["status", "--service", "rack"]);
    expect![[r#"
        vm                address          domain  ready  applied  lag
        entry-1.00000001  VM-0             tawe-a  yes    41       3
        entry-2.00000001  VM-1             tawe-a  yes    44       0

        service  version  targets  serving  slots  in flight  queued  measuring  connections
        rack     -        0        0        0      -          -       1000us/s   -

        the dumps list no targets
    "#]]
    .assert_eq(&text);
    assert_eq!(code, Some(0));
    assert_eq!(
        status(&all[..2], &["status", "--service", "none"]).0,
        Some(1)
    );
    let (_, text) = status(&all[1..2], &["status", "--json"]);
    let parsed: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(parsed["vms"][0]["lag"], 0);
    assert_eq!(
        parsed["services"]["status"]["targets"]["status-1"]["slots"],
        8
    );
    let (code, text) = status(&all[..1], &["dump"]);
    let parsed: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(code, Some(0));
    assert_eq!(parsed.as_object().unwrap().len(), 1);
    assert_eq!(status(&all[2..], &["dump"]).0, Some(3));
}

/// Guards against printing no completions for a supported shell.
#[test]
fn completions_name_the_subcommands() {
    for shell in ["bash", "zsh", "fish"] {
        let args = ["completions", shell];
        let output = command(UNREACHABLE.parse().unwrap(), "gwen")
            .args(args)
            .output()
            .unwrap();
        assert_eq!(output.status.code(), Some(0));
        let text = combined_output(&output);
        assert!(
            text.contains("confirm") && text.contains("history"),
            "{shell}"
        );
    }
}
