//! The simulated VM list: updates and injected faults.

mod http;

use std::io::ErrorKind;
use std::time::Duration;
use std::time::Instant;

use carobshore_standin::Trigger;
use carobshore_standin::VmEntry;
use carobshore_standin::VmListFaults;
use carobshore_standin::VmListSettings;
use carobshore_standin::VmListStandin;
use carobshore_standin::VmState;
use carobshore_standin::vm_history::VmHistory;
use http::Conn;
use http::call;

fn vm(name: &str, state: VmState) -> VmEntry {
    VmEntry {
        name: name.into(),
        addr: "127.0.0.1:1".parse().unwrap(),
        domain: "a".into(),
        state,
    }
}

fn start() -> VmListStandin {
    let vms = vec![vm("one", VmState::Live)];
    VmListStandin::start(VmListSettings {
        vms,
        ..VmListSettings::default()
    })
    .expect("a free port")
}

fn states(list: &VmListStandin) -> Vec<(String, String)> {
    let reply = call(list.addr(), "GET /v1/vms", &[], b"").unwrap();
    let text = |value: &serde_json::Value| value.as_str().unwrap().to_owned();
    let vms = reply.json();
    let vms = vms.as_array().unwrap();
    vms.iter()
        .map(|vm| (text(&vm["name"]), text(&vm["state"])))
        .collect()
}

#[test]
fn put_and_deleted_entries_change_list() {
    let list = start();
    let json = [("content-type", "application/json")];
    let body = br#"{"name":"two","addr":"127.0.0.1:2","domain":"b","state":"leaving"}"#;
    assert_eq!(
        call(list.addr(), "PUT /v1/vms/two", &json, body)
            .unwrap()
            .status,
        204
    );
    assert_eq!(
        call(list.addr(), "PUT /v1/vms/six", &json, body)
            .unwrap()
            .status,
        400
    );
    let expected = [
        ("one".into(), "live".into()),
        ("two".into(), "leaving".into()),
    ];
    assert_eq!(states(&list), expected);
    assert_eq!(
        call(list.addr(), "DELETE /v1/vms/one", &[], b"")
            .unwrap()
            .status,
        204
    );
    assert_eq!(states(&list), expected[1..]);
}

#[test]
fn lagging_list_returns_past_state() {
    let start = Instant::now();
    let mut history = VmHistory::new(start, vec![vm("one", VmState::Live)]);
    let second = Duration::from_secs(1);
    history.set(start + second, vm("one", VmState::Leaving));
    let seen = |lag| history.list(start + second * 3, lag)[0].state;
    assert_eq!(seen(second), VmState::Leaving);
    assert_eq!(seen(second * 3), VmState::Live);
    assert_eq!(seen(second * 30), VmState::Live);
}

#[test]
fn lag_hides_change_over_http() {
    let list = start();
    list.set_faults(VmListFaults {
        lag_ms: 60_000,
        ..VmListFaults::default()
    });
    list.set(vm("one", VmState::Leaving));
    assert_eq!(states(&list), [("one".into(), "live".into())]);
    list.set_faults(VmListFaults::default());
    assert_eq!(states(&list), [("one".into(), "leaving".into())]);
}

#[test]
fn wrong_and_missing_entries_replace_the_true_ones() {
    let list = start();
    list.set(vm("two", VmState::Live));
    let faults = VmListFaults {
        wrong: vec![vm("one", VmState::Leaving)],
        missing: vec!["two".into()],
        ..VmListFaults::default()
    };
    list.set_faults(faults);
    assert_eq!(states(&list), [("one".into(), "leaving".into())]);
}

#[test]
fn unavailable_list_refuses_or_never_responds() {
    let list = start();
    list.set_faults(VmListFaults {
        refuse: Trigger::next(1),
        ..VmListFaults::default()
    });
    let status = || call(list.addr(), "GET /v1/vms", &[], b"").unwrap().status;
    assert_eq!((status(), status()), (503, 200));
    list.set_faults(VmListFaults {
        hang: Trigger::next(1),
        ..VmListFaults::default()
    });
    let mut conn = Conn::open(list.addr());
    conn.set_read_timeout(Duration::from_millis(200));
    let error = conn.call("GET /v1/vms", &[], b"").err().expect("no answer");
    assert_eq!(error.kind(), ErrorKind::WouldBlock);
    assert_eq!(status(), 200);
}
