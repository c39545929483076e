//! Guards against a process that runs with settings that it cannot mean, such as a memory limit that
//! has wrapped around to a few bytes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::process::Stdio;

use carobshore_platform::boot_settings::BootSettings;
use carobshore_standin::site_wire;
use carobshore_standin::site_wire::VmLimits;
use carobshore_standin::site_wire::VmSettings;
use serde_json::Value;
use serde_json::json;

fn settings() -> Value {
    let addr = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let text = site_wire::settings(&VmSettings {
        name: "edge-1",
        domain: "a",
        first_start: false,
        callers: addr(1),
        readiness: addr(2),
        admin: addr(3),
        control: None,
        seeds: &[addr(4), addr(0)],
        store: addr(5),
        limits: VmLimits::default(),
    });
    serde_json::from_str(&text).expect("settings")
}

fn write(name: &str, settings: &Value) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("odd-settings");
    std::fs::create_dir_all(&dir).expect("a folder");
    let path = dir.join(name);
    std::fs::write(&path, settings.to_string()).expect("a file");
    path
}

#[test]
fn a_seed_without_a_port_is_left_out() {
    let read = BootSettings::read(&write("sound", &settings())).expect("settings");
    assert_eq!(read.seeds, [SocketAddr::from(([127, 0, 0, 1], 4))]);
    assert_eq!(read.memory, 160 << 20);
}

#[test]
fn numbers_out_of_range_are_refused() {
    for (index, (pointer, value)) in [
        ("/Limits/MemoryMb", json!(1_u64 << 44)),
        ("/Limits/MemoryMb", json!(u64::MAX)),
        ("/Limits/MemoryMb", json!(-1)),
        ("/Bounds/RetryBudgetExtra", json!(-1)),
        ("/Bounds/RetryBudgetExtra", json!(1e300)),
        ("/Bounds/RetryBudgetRatio", json!(-0.2)),
        ("/Bounds/RetryBudgetRatio", json!(1e300)),
        ("/Bounds/ProbesPerS", json!(-60)),
        ("/Bounds/Grace", json!("1e300s")),
        ("/InternalPorts", json!([0, 0])),
        ("/InternalPorts", json!([4, 3])),
        ("/InternalPorts", json!([65_536, 65_536])),
        ("/Platform/Address", json!("127.0.0.1:0")),
    ]
    .into_iter()
    .enumerate()
    {
        let mut odd = settings();
        *odd.pointer_mut(pointer).expect("a field") = value;
        let read = BootSettings::read(&write(&format!("odd-{index}"), &odd));
        assert!(read.is_err(), "{pointer}: {odd}");
    }
}

#[test]
fn odd_settings_of_crossings_are_refused() {
    let path = write("crossing", &settings());
    for odd in [
        ["--crossing", "shares"],
        ["--crossing-ms-per-kib", "-0.5"],
        ["--crossing-ms-per-kib", "1001"],
        ["--crossing-ms-per-kib", "NaN"],
    ] {
        let status = Command::new(env!("CARGO_BIN_EXE_carobshore-gateway"))
            .arg("--settings")
            .arg(&path)
            .args(odd)
            .stderr(Stdio::null())
            .status();
        assert_eq!(status.expect("an exit status").code(), Some(2), "{odd:?}");
    }
}

#[test]
fn a_log_rate_that_cannot_be_multiplied_is_refused() {
    let path = write("log-rate", &settings());
    let status = Command::new(env!("CARGO_BIN_EXE_carobshore-gateway"))
        .arg("--settings")
        .arg(path)
        .args(["--log-rate", "4294967295"])
        .stderr(Stdio::null())
        .status();
    assert_eq!(status.expect("an exit status").code(), Some(2));
}
