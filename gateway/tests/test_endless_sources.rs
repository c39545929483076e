//! Guards against a process that runs out of memory because the store, or another VM, sends answers
//! without end.

mod common;
mod crowd;

use std::thread;
use std::time::Duration;

use carobshore_standin::broken_server::BrokenAnswer;
use carobshore_standin::broken_server::BrokenServer;
use carobshore_standin::endless_part::EndlessPart;

use crate::common::Gateway;
use crate::common::Site;
use crate::common::site;
use crate::common::wait;
use crate::crowd::peak_memory;

/// The peak resident memory of a process on a VM of 160 MB, in KiB.
const PEAK: u64 = 80 << 10;
/// How long each process stays with its source.
const STAY: Duration = Duration::from_secs(8);

/// A process with the source that it reads.
struct Reader {
    part: EndlessPart,
    gateway: Gateway,
    source: BrokenServer,
}

/// Checks that processes which read from a server that sends answers without end, one for each part,
/// stay within half the memory of their VM.
fn assert_bounded(name: &str, start: impl Fn(&mut Site, &str, &BrokenServer) -> Gateway) {
    let mut site = site(name, 1);
    let readers: Vec<_> = EndlessPart::ALL
        .into_iter()
        .map(|part| {
            let source = BrokenServer::start(move |_| BrokenAnswer::endless(part, ""));
            let source = source.expect("a server");
            let gateway = start(&mut site, &format!("edge-{part:?}"), &source);
            Reader {
                part,
                gateway,
                source,
            }
        })
        .collect();
    thread::sleep(STAY);
    let mut failed = Vec::new();
    for mut reader in readers {
        wait("the source is read", || reader.source.endless_bytes() > 0);
        let peak = peak_memory(&reader.gateway);
        let ended = reader.gateway.has_exited();
        eprintln!("{:?}: peak {peak:?} KiB", reader.part);
        if ended || peak.is_none_or(|peak| peak >= PEAK) {
            failed.push(format!("{:?}: {peak:?} KiB, ended {ended}", reader.part));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

#[test]
fn answers_of_the_store_without_end_leave_the_process_within_half_its_memory() {
    assert_bounded("endless-store", |site, name, source| {
        site.store_addr = source.addr();
        site.start_gateway(name)
    });
}

#[test]
fn answers_of_another_vm_without_end_leave_the_process_within_half_its_memory() {
    assert_bounded("endless-vm", |site, name, source| {
        site.start_seeded(name, &[source.addr()])
    });
}
