//! Guards against a check that lets a configuration pass which the VMs refuse or which cannot be meant,
//! and against output that scripts cannot rely on.

mod session;

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Output;

use carobshore_standin::site_wire;
use expect_test::expect;
use serde_json::Value;
use serde_json::json;
use session::combined_output;
use session::command;

/// `check` needs no log.
const NO_LOG: &str = "127.0.0.1:1";

fn route(name: &str, prefix: &str) -> Value {
    site_wire::route(name, prefix, "s")
}

fn sound() -> Vec<Value> {
    vec![
        route("r-1", "/x/"),
        json!({"Type": "Services", "Metadata": {"Name": "s"}, "Spec": {}}),
        site_wire::with_quota(site_wire::organisation("org-a", &["ka"]), 10.0, 20.0),
    ]
}

/// Writes a configuration and returns its path.
fn file(name: &str, version: &str, resources: &[Value]) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let text = json!({"Version": version, "Resources": resources}).to_string();
    std::fs::write(&path, text).expect("a file");
    path
}

fn check(args: &[&str]) -> Output {
    let log: SocketAddr = NO_LOG.parse().expect("an address");
    let output = command(log, "gwen").arg("check").args(args).output();
    output.expect("the client")
}

fn path(path: &Path) -> &str {
    path.to_str().expect("a path")
}

#[test]
fn a_sound_configuration_has_no_findings() {
    let sound = file("check-sound.json", "r3", &sound());
    let output = check(&[path(&sound), "--memory", "260"]);
    assert_eq!(output.status.code(), Some(0));
    expect![[r#"
        version 3: 0 findings
    "#]]
    .assert_eq(&combined_output(&output));
}

#[test]
fn errors_dead_entries_and_contradictions_are_reported_with_their_place() {
    let mut resources = sound();
    resources.push(route("r-2", "/x/"));
    let slow = site_wire::with_attempts(route("r-3", "/y/"), 9);
    resources.push(site_wire::with_split(slow, &[("s", 1), ("t", 0)]));
    let mut odd = route("r-4", "/z");
    odd["Spec"]["Kind"] = "safe".into();
    resources.push(odd);
    resources.push(json!({"Type": "Services", "Metadata": {"Name": "u"}, "Spec": {}}));
    let keyless = site_wire::organisation("org-b", &[]);
    resources.push(site_wire::with_quota(keyless, 0.5, 600.0));
    let mut odd = site_wire::organisation("org-c", &["kc"]);
    odd["Spec"]["Priority"] = "many".into();
    resources.push(odd);
    resources.push(json!({"Type": "Walls", "Metadata": {"Name": "w"}, "Spec": {}}));
    let file = file("check-odd.json", "r4", &resources);
    let output = check(&[path(&file), "--memory", "160"]);
    assert_eq!(output.status.code(), Some(1));
    expect![[r#"
        error: Routes `r-4`: the configuration in the store cannot be decoded: route `r-4`: the path prefix must start and end with `/`
        error: Tenants `org-c`: the configuration in the store cannot be decoded: a field of an organisation has the wrong type
        error: Walls `w`: the configuration in the store cannot be decoded: unknown resource type `Walls`
        no effect: organisation org-b: has no key, so that it can send nothing
        no effect: route r-2: never matches: route r-1 has the same host and prefix
        no effect: route r-3: service t has the weight 0 and gets no request
        no effect: service u: no route leads to it
        contradiction: limits: bodies of 67108864 bytes are allowed, but a VM has room for 41943040
        contradiction: organisation org-b: the burst of 600 takes 1200 s to refill at 0.5/s
        contradiction: route r-3: 9 attempts of 500ms each do not fit into the timeout of 2s
        contradiction: route r-3: service t is not in the configuration
        version 4: 11 findings
    "#]].assert_eq(&combined_output(&output));
}

#[test]
fn a_key_that_two_organisations_share_is_an_error() {
    let mut resources = sound();
    resources.push(site_wire::organisation("org-b", &["ka"]));
    let output = check(&[path(&file("check-shared.json", "r4", &resources))]);
    assert_eq!(output.status.code(), Some(1));
    let text = combined_output(&output);
    assert!(text.contains("`org-a` and `org-b` share the key"), "{text}");
    assert!(!text.contains("ka"), "{text}");
}

#[test]
fn differences_from_the_version_in_force_are_listed() {
    let old = file("check-old.json", "r3", &sound());
    let mut resources = sound();
    resources[0]["Spec"]["Timeout"] = "3s".into();
    resources[2] = site_wire::with_quota(site_wire::organisation("org-a", &["kb"]), 10.0, 20.0);
    resources.push(route("r-2", "/y/"));
    let new = file("check-new.json", "r5", &resources);
    let output = check(&[path(&new), "--in-force", path(&old), "--format", "json"]);
    assert_eq!(output.status.code(), Some(0));
    expect![[r#"
        {
          "version": 5,
          "findings": [],
          "changes": [
            {
              "added": {
                "item": "route r-2"
              }
            },
            {
              "changed": {
                "item": "organisation org-a",
                "value": "key-hashes",
                "from": "3ebb1c99",
                "to": "74fec0c3"
              }
            },
            {
              "changed": {
                "item": "route r-1",
                "value": "timeout",
                "from": "2s",
                "to": "3s"
              }
            }
          ]
        }
    "#]]
    .assert_eq(&combined_output(&output));
}

#[test]
fn what_cannot_be_read_is_told_from_what_is_found() {
    let sound = file("check-readable.json", "r3", &sound());
    let broken = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("check-broken.json");
    std::fs::write(&broken, "{\"Version\":").expect("a file");
    for args in [
        vec!["no-such-file"],
        vec![path(&broken)],
        vec![path(&sound), "--in-force", path(&broken)],
        vec![path(&sound), "--vm", NO_LOG],
    ] {
        assert_eq!(check(&args).status.code(), Some(2), "{args:?}");
    }
}
