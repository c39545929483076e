//! Guards against a process that runs out of memory because a target, the log or the list of VMs sends
//! answers without end.

mod common;
mod crowd;

use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::prelude::*;
use carobshore_lib::record::Join;
use carobshore_standin::broken_server::BrokenAnswer;
use carobshore_standin::broken_server::BrokenServer;
use carobshore_standin::endless_part::EndlessPart;
use uuid::Uuid;

use crate::common::site::Site;
use crate::common::vm::Vm;
use crate::crowd::Daemon;
use crate::crowd::await_first_bytes;
use crate::crowd::daemon_of;
use crate::crowd::send_from;
use crate::crowd::start;
use crate::crowd::wait;

/// The peak resident memory, in KiB.
const PEAK: u64 = 80 << 10;
/// The number of requests to each target, all at once.
const REQUESTS: u8 = 6;
/// The time that a caller leaves for a request.
const DEADLINE_MS: u64 = 4_000;
/// How long each process stays with its source.
const STAY: Duration = Duration::from_secs(6);

fn endless_server(part: EndlessPart) -> BrokenServer {
    BrokenServer::start(move |_| BrokenAnswer::endless(part, "")).expect("a server")
}

/// Adds a service with one target, which has a slot for each request.
fn add_service(site: &Site, name: &str, target: &BrokenServer) {
    let service: ServiceId = name.parse().unwrap();
    site.confirm(vec![
        Change::AddService {
            service: service.clone(),
            measuring: TargetTime(0),
            connections: 220,
        },
        Change::AddTarget {
            service,
            target: "endless".parse().unwrap(),
            addr: target.addr(),
            domain: "d0".parse().unwrap(),
            slots: u32::from(REQUESTS).try_into().unwrap(),
        },
    ]);
}

/// Sends requests to a service. Each caller takes the first bytes of its response, and no more until the
/// deadline has passed.
fn call(daemon: &Daemon, service: &str) -> Vec<JoinHandle<Option<()>>> {
    let text = format!(
        "GET /x HTTP/1.1\r\nhost: {service}\r\ncarobshore-deadline-ms: {DEADLINE_MS}\r\n\r\n"
    );
    let callers = (0..REQUESTS).map(|_| {
        let stream = send_from(1, daemon.callers, text.as_bytes());
        thread::spawn(move || {
            let mut stream = stream?;
            await_first_bytes(&mut stream);
            thread::sleep(Duration::from_millis(DEADLINE_MS));
            Some(())
        })
    });
    callers.collect()
}

#[test]
fn answers_of_targets_without_end_leave_the_process_within_its_bound() {
    let site = Site::new(4);
    let targets = EndlessPart::ALL.map(endless_server);
    let name = |at: usize| format!("endless-{at}");
    for (at, target) in targets.iter().enumerate() {
        add_service(&site, &name(at), target);
    }
    let mut daemon = daemon_of(site, &[]);
    let names = (0..targets.len()).map(name);
    let callers: Vec<_> = names.flat_map(|name| call(&daemon, &name)).collect();
    for caller in callers {
        caller.join().expect("an end").expect("a connection");
    }
    for (target, part) in targets.iter().zip(EndlessPart::ALL) {
        assert!(target.endless_bytes() > 0, "{part:?} is read");
    }
    daemon.assert_holds(PEAK, 400);
}

/// Checks that daemons which read from a server that sends answers without end, one for each part,
/// stay within their bound.
fn assert_bounded(start: impl Fn(&BrokenServer) -> Daemon) {
    let readers: Vec<_> = EndlessPart::ALL
        .into_iter()
        .map(|part| {
            let source = endless_server(part);
            let daemon = start(&source);
            (part, source, daemon)
        })
        .collect();
    thread::sleep(STAY);
    let mut failed = Vec::new();
    for (part, source, daemon) in readers {
        wait("the source is read", || source.endless_bytes() > 0);
        let peak = daemon.peak_memory();
        eprintln!("{part:?}: peak {peak:?} KiB");
        if peak.is_none_or(|peak| peak >= PEAK) {
            failed.push(format!("{part:?}: {peak:?} KiB"));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

#[test]
fn answers_of_the_log_and_the_list_without_end_leave_the_process_within_its_bound() {
    assert_bounded(|source| start(Site::new(0), source.addr(), source.addr(), &[]));
}

#[test]
fn answers_of_another_vm_without_end_leave_the_process_within_its_bound() {
    assert_bounded(|source| {
        let site = Site::new(0);
        let join = Join {
            vm: "entry-9.00000001".parse().unwrap(),
            domain: "d1".parse().unwrap(),
            rpc: source.addr(),
            forward: source.addr(),
        };
        site.append(RecordId(Uuid::now_v7()), Body::Join(join));
        let (log, list) = (site.log.addr(), site.vm_list.addr());
        start(site, log, list, &[])
    });
}

/// What a VM may hold of an answer while no part of it can be passed on, in bytes: the largest head
/// (64 KiB) twice, while a buffer grows, and as much for what it reads at once.
const MAX_HELD: u64 = 256 << 10;
/// Pause between two looks at the connection.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Returns the number of bytes that the kernel holds of what the server at `port` has sent on its only
/// connection; nothing unless the connection is open.
fn in_kernel(port: u16) -> Option<u64> {
    const ESTABLISHED: &str = "01";
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of connections");
    let suffix = format!(":{port:04X}");
    let open = table.lines().map(|line| line.split_whitespace().collect());
    let open = open.filter(|fields: &Vec<&str>| fields.get(3) == Some(&ESTABLISHED));
    let (mut sent, mut received) = (None, None);
    for fields in open {
        let (to_send, to_read) = fields[4].split_once(':').expect("two queues");
        let bytes = |text| u64::from_str_radix(text, 16).expect("a number");
        if fields[1].ends_with(&suffix) {
            sent = Some(bytes(to_send));
        } else if fields[2].ends_with(&suffix) {
            received = Some(bytes(to_read));
        }
    }
    Some(sent? + received?)
}

/// The bytes are counted at the server and in the kernel: what is in neither is held by the VM.
#[test]
fn what_is_no_part_of_a_body_is_not_kept_without_end() {
    let parts = EndlessPart::ALL.into_iter().filter(|part| {
        let is_body = [EndlessPart::Length, EndlessPart::Body, EndlessPart::Chunks].contains(part);
        !is_body
    });
    let checks = parts.map(|part| {
        thread::spawn(move || {
            let target = endless_server(part);
            let vm = Vm::alone(&[target.addr()], &[]);
            let text = format!(
                "POST /x HTTP/1.1\r\nhost: status\r\ncarobshore-deadline-ms: {DEADLINE_MS}\r\ncontent-length: 0\r\n\r\n"
            );
            let caller = send_from(1, vm.listen, text.as_bytes());
            let until = Instant::now() + Duration::from_millis(DEADLINE_MS);
            let mut held = 0;
            while Instant::now() < until {
                // In this order: what is sent in between counts as not held.
                let sent = target.endless_bytes();
                if let Some(queued) = in_kernel(target.addr().port()) {
                    held = held.max(sent.saturating_sub(queued));
                }
                thread::sleep(LOOK_INTERVAL);
            }
            assert!(caller.is_some() && target.endless_bytes() > 0, "{part:?}");
            (part, held)
        })
    });
    let checks: Vec<_> = checks.collect();
    let held = checks
        .into_iter()
        .map(|check| check.join().expect("a check"));
    let failed: Vec<_> = held.filter(|(_, held)| *held > MAX_HELD).collect();
    assert!(failed.is_empty(), "{failed:?}");
}
