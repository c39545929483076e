//! Guards against a process that runs out of memory because the store, or another VM, sends answers
//! without end.

mod common;
mod crowd;

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use carobshore_standin::broken_server::BrokenAnswer;
use carobshore_standin::broken_server::BrokenServer;
use carobshore_standin::endless_part::EndlessPart;
use carobshore_standin::raw_server::RawServer;
use carobshore_standin::raw_server::ServerAction;
use carobshore_standin::server::ANY_PORT;

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

/// The size of a page, in bytes, like that of the store.
const PAGE: usize = 1 << 20;
/// The sizes of the records in a page, as JSON, in bytes, and what their values repeat: text, bytes that are
/// not valid UTF-8, or no base64.
const RECORDS: [(usize, &str); 5] = [
    (64, "QUFB"),
    (1 << 10, "QUFB"),
    (256 << 10, "QUFB"),
    (1 << 10, "////"),
    (1 << 10, "%%%%"),
];
/// How many pages each process reads at least.
const PAGES: usize = 40;

/// Starts a store whose list of the newest records never ends, with rising keys. Returns the number of
/// pages that it has sent, too.
fn endless_list(record: usize, value: &'static str) -> (RawServer, Arc<AtomicUsize>) {
    let pages = Arc::new(AtomicUsize::new(0));
    let sent = Arc::clone(&pages);
    let answer = move |_| {
        let page = sent.fetch_add(1, Ordering::SeqCst);
        let item = |index: usize| {
            let start = format!(r#"{{"Key":"{page:08}-{index:06}","Offset":1,"Value":""#);
            let value = value.repeat(record.saturating_sub(start.len()) / 4);
            format!(r#"{start}{value}"}}"#)
        };
        let items: Vec<_> = (0..PAGE / record).map(item).collect();
        let items = items.join(",");
        let body = format!(r#"{{"items":[{items}],"HasMore":true,"End":9}}"#);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        ServerAction::Send((head + &body).into_bytes())
    };
    let store = RawServer::start(ANY_PORT, |_| false, answer).expect("a store");
    (store, pages)
}

#[test]
fn a_list_of_the_store_without_end_leaves_the_process_within_half_its_memory() {
    let mut site = site("endless-list", 1);
    let mut readers = Vec::new();
    for (index, (record, value)) in RECORDS.into_iter().enumerate() {
        let (store, pages) = endless_list(record, value);
        site.store_addr = store.addr();
        let gateway = site.start_gateway(&format!("edge-{index}"));
        readers.push((format!("{record} bytes of {value}"), gateway, store, pages));
    }
    thread::sleep(STAY);
    let mut failed = Vec::new();
    for (record, gateway, _store, pages) in readers {
        wait("pages are read", || pages.load(Ordering::SeqCst) >= PAGES);
        let peak = peak_memory(&gateway);
        eprintln!("{record}: peak {peak:?} KiB");
        if peak.is_none_or(|peak| peak >= PEAK) {
            failed.push(format!("records of {record}: {peak:?} KiB"));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}
