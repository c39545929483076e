//! Guards against targets that are lost, or used although they leave, because of an entry that another
//! writer has left among theirs.

mod common;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use carobshore_standin::odd_entry;
use carobshore_standin::server::ANY_PORT;
use carobshore_standin::site_store::TARGETS;
use carobshore_standin::site_target::SiteTarget;
use serde_json::Value;

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

/// A start that is later than those of the targets, in Unix milliseconds.
const LATER_START_MS: u64 = 1_800_000_001_000;

/// A start and sequence number in another writer's entry: the largest ones, and likely ones that are
/// later than the target's own.
const NUMBERS: [(u64, u64); 3] = [
    (u64::MAX, u64::MAX),
    ((1 << 53) - 1, (1 << 53) - 1),
    (LATER_START_MS, 7),
];

/// Writes a well-formed entry of another writer under the key of each target.
fn write_over(site: &Site, (started_ms, sequence): (u64, u64)) {
    for target in &site.targets {
        let entry = odd_entry::numbered(target, NOWHERE, started_ms, sequence);
        site.store.put(TARGETS, target.id(), Some(&entry));
    }
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
    let target = &site.targets[0];
    let entry = odd_entry::numbered(target, target.addr(), LATER_START_MS, 0);
    site.store.put(TARGETS, target.id(), Some(&entry));
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

/// Returns the lines about malformed entries under a key.
fn warnings(gateway: &Gateway, key: &str) -> Vec<String> {
    let key = format!("\"{key}\"");
    let mut lines = gateway.lines();
    lines.retain(|line| line.contains("malformed target entry") && line.contains(&key));
    lines
}

/// The value of the counter of malformed entries.
fn counted(gateway: &Gateway) -> u64 {
    let request = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
    let text = common::call(gateway.admin, request).body;
    let mut lines = text.lines();
    let line = lines.find(|line| line.starts_with("carobshore_malformed_entries_total"));
    let value = line.and_then(|line| line.rsplit(' ').next()?.parse().ok());
    value.unwrap_or(0)
}

/// Each odd entry is refused by itself: the good ones beside it hold, the list is followed on, by the VM
/// that reads the store and by one that reads from it, as changes and as a whole. It is logged once, in
/// a short line, and counted.
#[test]
fn odd_entries_are_refused_one_by_one_and_the_list_is_followed_on() {
    let mut site = site("odd-entries", 2);
    let (mut first, mut second) = (site.gateway("edge-1"), site.gateway("edge-2"));
    let odd = odd_entry::malformed(&site.targets[0]);
    for (key, value) in &odd {
        site.store.put(TARGETS, key, Some(value));
    }
    let joined = SiteTarget::start(ANY_PORT, "i-new", "status", "a").expect("a target");
    joined.announce(&site.store, "ready");
    site.targets.push(joined);
    for gateway in [&first, &second] {
        wait_for_addr(gateway, "i-new", site.targets[2].addr());
        wait("it is counted", || counted(gateway) == odd.len() as u64);
    }
    for gateway in [&mut first, &mut second] {
        gateway.restart();
        wait("it is ready", || gateway.is_ready());
    }
    for gateway in [&first, &second] {
        for (key, _) in &odd {
            wait("it is logged after the restart", || {
                warnings(gateway, key).len() == 2
            });
            assert!(warnings(gateway, key).iter().all(|line| line.len() < 1_000));
            assert!(!gateway.dump().contains(&format!("\"{key}\"")), "{key}");
        }
        for target in &site.targets {
            assert!(uses(gateway, target.id(), target.addr()), "{}", target.id());
        }
    }
    // A reader that has to read the whole list again says nothing new.
    site.store.drop_history(TARGETS);
    site.targets[1].announce(&site.store, "draining");
    std::thread::sleep(APPLY_TIME);
    for gateway in [&first, &second] {
        assert_eq!(counted(gateway), odd.len() as u64);
        assert!(odd.iter().all(|(key, _)| warnings(gateway, key).len() == 2));
    }
}

/// An odd entry under the key of a target names no target; the target's next entry does.
#[test]
fn a_target_is_used_again_when_it_writes_over_an_odd_entry() {
    let site = site("odd-under-key", 2);
    let gateway = site.gateway("edge-1");
    let target = &site.targets[0];
    for (what, value) in odd_entry::malformed(target) {
        site.store.put(TARGETS, target.id(), Some(&value));
        wait("the odd entry is applied", || {
            !uses(&gateway, target.id(), target.addr())
        });
        assert_eq!(gateway.call("safe", what, "").head.status, 200, "{what}");
        target.announce(&site.store, "ready");
        wait_for_addr(&gateway, target.id(), target.addr());
    }
}
