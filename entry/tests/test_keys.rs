//! Requests with an idempotency key.

mod common;

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use carobshore_entry::listeners::Listeners;
use carobshore_lib::key_history::SKEW_MARGIN;
use carobshore_lib::key_ownership::key_homes;
use carobshore_lib::prelude::RequestKey;
use carobshore_lib::read_lease::ReadLease;
use common::MAX_WAIT;
use common::assert_outcome;
use common::field;
use common::raw_call;
use common::raw_server;
use common::read_head;
use common::vm;
use common::vm::Vm;
use uuid::Uuid;

const IDLE_TIMEOUT: Duration = Duration::from_millis(400);

/// Starts a target that counts its requests, and responds to each with its number after `delay`.
fn counting_target(delay: Duration) -> (SocketAddr, mpsc::Receiver<usize>) {
    let (sender, received) = mpsc::channel();
    let count = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let addr = raw_server(move |mut stream| {
        let sender = sender.clone();
        let count = std::sync::Arc::clone(&count);
        thread::spawn(move || {
            while !read_head(&mut stream).is_empty() {
                let number = count.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
                let _ = sender.send(number);
                thread::sleep(delay);
                let response = format!(
                    "HTTP/1.1 201 Created\r\nx: {number}\r\ncontent-length: 1\r\n\r\n{number}"
                );
                let _ = stream.write_all(response.as_bytes());
            }
        });
    });
    (addr, received)
}

/// Starts a VM and waits until it accepts keys. Keys created before it started may have been
/// accepted by their previous owner.
fn vm(targets: &[SocketAddr]) -> Vm {
    let vm = Vm::alone(targets, &[]);
    thread::sleep(SKEW_MARGIN + Duration::from_millis(300));
    vm
}

fn post(path: &str, key: Uuid) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: status\r\ncarobshore-caller: c\r\n\
         idempotency-key: {key}\r\ncontent-length: 0\r\n\r\n"
    )
}

fn call(vm: &Vm, path: &str, key: Uuid) -> String {
    raw_call(vm.listen, post(path, key).as_bytes(), IDLE_TIMEOUT)
}

/// Guards against a duplicate that runs the request again, or gets a different response.
#[test]
fn duplicates_get_the_first_response_and_run_nothing() {
    let (target, runs) = counting_target(Duration::ZERO);
    let vm = vm(&[target]);
    let key = Uuid::now_v7();
    for _ in 0..3 {
        let response = call(&vm, "/seat", key);
        assert!(response.starts_with("HTTP/1.1 201 "), "{response}");
        assert_eq!(field(&response, "x"), Some("0"), "{response}");
        assert!(response.ends_with("\r\n\r\n0"), "{response}");
    }
    assert_eq!(runs.try_iter().count(), 1);
    let response = call(&vm, "/other", key);
    assert_outcome(&response, "not-run");
    let response = call(&vm, "/seat", Uuid::now_v7());
    assert_eq!(field(&response, "x"), Some("1"), "{response}");
}

/// Guards against running a duplicate while the first request is running, and against cancelling a
/// request because its first caller disconnected.
#[test]
fn duplicate_waits_for_the_first_even_if_its_caller_disconnected() {
    let (target, runs) = counting_target(Duration::from_millis(600));
    let vm = vm(&[target]);
    let key = Uuid::now_v7();
    let mut first = TcpStream::connect(vm.listen).unwrap();
    first.write_all(post("/seat", key).as_bytes()).unwrap();
    assert_eq!(runs.recv_timeout(MAX_WAIT), Ok(0));
    drop(first);
    let response = raw_call(
        vm.listen,
        post("/seat", key).as_bytes(),
        Duration::from_secs(2),
    );
    assert_outcome(&response, "whole");
    assert_eq!(field(&response, "x"), Some("0"), "{response}");
    assert_eq!(runs.try_iter().count(), 0);
}

/// Guards against accepting keys without the read lease, against refusing other requests without
/// it, and against reporting "not run" for a key that another VM may have run.
#[test]
fn without_the_lease_only_keys_are_refused() {
    let (target, runs) = counting_target(Duration::ZERO);
    let vm = vm(&[target]);
    vm.update(|view| view.lease = ReadLease::default());
    thread::sleep(Duration::from_millis(100));
    let response = call(&vm, "/seat", Uuid::now_v7());
    assert_outcome(&response, "may-have-run");
    assert_eq!(
        field(&response, "carobshore-code"),
        Some("4008"),
        "{response}"
    );
    assert_eq!(runs.try_iter().count(), 0);
    let plain = b"POST / HTTP/1.1\r\nhost: status\r\ncontent-length: 0\r\n\r\n";
    let response = raw_call(vm.listen, plain, IDLE_TIMEOUT);
    assert_outcome(&response, "whole");
}

/// Guards against serving a key at a VM that does not own it.
#[test]
fn keys_are_served_by_their_owner_whichever_vm_is_called() {
    let (target, runs) = counting_target(Duration::ZERO);
    let vms = Vm::pair(&[target], &[]);
    thread::sleep(SKEW_MARGIN + Duration::from_millis(300));
    for _ in 0..3 {
        let key = Uuid::now_v7();
        let responses = vms.each_ref().map(|vm| call(vm, "/seat", key));
        let numbers = responses.each_ref().map(|response| field(response, "x"));
        assert!(numbers[0].is_some(), "{}", responses[0]);
        assert_eq!(numbers[0], numbers[1], "{}", responses[1]);
    }
    assert_eq!(runs.try_iter().count(), 3);
}

/// Guards against reporting "not run" for a repeated request that the owner of its key ran before
/// it crashed. A refused connection to the owner proves nothing about the key.
#[test]
fn a_repeated_request_is_not_reported_as_not_run_after_its_owner_crashed() {
    let (target, runs) = counting_target(Duration::ZERO);
    let owner_id = "entry-1.00000001".parse().unwrap();
    let other_id = "entry-2.00000001".parse().unwrap();
    let starts = ["--vm-name=entry-1", "--vm-name=entry-2"].map(|name| {
        let settings = vm::settings(&[name]);
        let listeners = Listeners::bind(&settings).unwrap();
        (settings, listeners)
    });
    let forwards = starts
        .each_ref()
        .map(|(_, listeners)| listeners.forward().unwrap());
    let roster = vm::roster(&[(&owner_id, forwards[0]), (&other_id, forwards[1])]);
    let config = vm::config("status", &[target]);
    let homes = key_homes(&"status".parse().unwrap(), &roster);
    let views = [&owner_id, &other_id].map(|id| vm::view(id, config.clone(), roster.clone()));
    let mut vms: Vec<_> = starts
        .into_iter()
        .zip(views)
        .map(|((settings, listeners), view)| Vm::start(settings, listeners, view))
        .collect();
    thread::sleep(SKEW_MARGIN + Duration::from_millis(300));
    let key = Uuid::now_v7();
    let request_key = RequestKey::try_from(key).unwrap();
    let owner = usize::from(homes.owner(&request_key) == Some(&other_id));
    let response = call(&vms[1 - owner], "/seat", key);
    assert_outcome(&response, "whole");
    assert_eq!(runs.try_iter().count(), 1);
    let other = vms.remove(1 - owner);
    drop(vms);
    let response = call(&other, "/seat", key);
    assert_outcome(&response, "may-have-run");
    assert_eq!(runs.try_iter().count(), 0);
}
