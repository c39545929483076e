//! Guards against targets that are lost, or used although they leave, because of an entry that another
//! writer has left among theirs.

mod common;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use carobshore_standin::site_store::TARGETS;
use serde_json::Value;
use serde_json::json;

use crate::common::Gateway;
use crate::common::Site;
use crate::common::site;
use crate::common::wait;

/// How long a VM may take to apply a change that the store has acknowledged.
const APPLY_TIME: Duration = Duration::from_secs(2);
/// Where no target listens.
const NOWHERE: SocketAddr = SocketAddr::new(
    std::net::IpAddr::V4(std::net::Ipv4Addr::new(127, 0, 0, 9)),
    9,
);

/// A start and sequence number in another writer's entry: the largest ones, and likely ones that are
/// later than the target's own.
const NUMBERS: [(u64, u64); 3] = [
    (u64::MAX, u64::MAX),
    ((1 << 53) - 1, (1 << 53) - 1),
    (1_800_000_001_000, 7),
];

/// Writes a well-formed entry of another writer under the key of each target.
fn write_over(site: &Site, (born, sequence): (u64, u64)) {
    for target in &site.targets {
        let mut entry = target.entry("ready", NOWHERE);
        entry["born"] = json!(born);
        entry["Status"]["SeqNo"] = json!(sequence);
        put(site, target.id(), &entry);
    }
}

fn put(site: &Site, key: &str, entry: &Value) {
    let text = entry.to_string();
    site.store.put(TARGETS, key, Some(text.as_bytes()));
}

/// Waits until the gateway uses the address for the target.
fn wait_for_addr(gateway: &Gateway, id: &str, addr: SocketAddr) {
    let started = Instant::now();
    wait("the entry is applied", || uses(gateway, id, addr));
    let time = started.elapsed();
    assert!(time < APPLY_TIME, "{id} at {addr} after {time:?}");
}

fn uses(gateway: &Gateway, id: &str, addr: SocketAddr) -> bool {
    let dump: Value = serde_json::from_str(&gateway.dump()).unwrap_or_default();
    let targets = dump["targets"].as_array().cloned().unwrap_or_default();
    let addr = addr.to_string();
    let mut targets = targets.iter();
    targets.any(|target| target["id"] == id && target["addr"] == *addr)
}

/// The newest entry of a key holds, whatever numbers an earlier one has. Otherwise the target is out of
/// use for as long as the process lives.
#[test]
fn targets_are_used_again_when_they_write_over_an_entry_with_larger_numbers() {
    for (index, numbers) in NUMBERS.into_iter().enumerate() {
        let site = site(&format!("larger-numbers-{index}"), 2);
        let (first, mut second) = (site.gateway("edge-1"), site.gateway("edge-2"));
        write_over(&site, numbers);
        std::thread::sleep(Duration::from_millis(700));
        // One VM reads the odd entries as part of the whole list.
        second.restart();
        wait("it is ready", || second.is_ready());
        for target in &site.targets {
            target.announce(&site.store, "ready");
        }
        for gateway in [&first, &second] {
            for target in &site.targets {
                wait_for_addr(gateway, target.id(), target.addr());
            }
            let before = [site.targets[0].runs().len(), site.targets[1].runs().len()];
            for call in 0..20 {
                let response = gateway.call("unsafe", &format!("id-{index}-{call}"), "x");
                assert_eq!(response.head.status, 200, "{numbers:?}");
            }
            let after = [site.targets[0].runs().len(), site.targets[1].runs().len()];
            assert_eq!(after[0] + after[1], before[0] + before[1] + 20);
        }
        site.targets[0].announce(&site.store, "draining");
        std::thread::sleep(APPLY_TIME);
        let before = site.targets[0].runs().len();
        for call in 0..10 {
            first.call("safe", &format!("late-{index}-{call}"), "");
            second.call("safe", &format!("later-{index}-{call}"), "");
        }
        assert_eq!(site.targets[0].runs().len(), before, "it leaves");
    }
}

/// What a target says in its answers counts for the start that its own entry names, although another
/// writer has named a later one.
#[test]
fn a_target_that_says_it_is_leaving_gets_nothing_after_an_entry_with_a_later_start() {
    let site = site("later-start", 2);
    let gateway = site.gateway("edge-1");
    site.targets[0].set_leaving(true);
    let mut entry = site.targets[0].entry("ready", site.targets[0].addr());
    entry["born"] = json!(1_800_000_005_000_u64);
    put(&site, site.targets[0].id(), &entry);
    wait("it says that it is leaving", || {
        gateway.call("safe", "first", "");
        gateway.has_line(&["target is leaving", site.targets[0].id()])
    });
    site.targets[0].announce(&site.store, "ready");
    std::thread::sleep(APPLY_TIME);
    // The first answer of its own start says so once more.
    for call in 0..40 {
        gateway.call("safe", &format!("again-{call}"), "");
    }
    let before = site.targets[0].arrivals();
    for call in 0..20 {
        gateway.call("safe", &format!("late-{call}"), "");
    }
    assert_eq!(site.targets[0].arrivals(), before);
}
