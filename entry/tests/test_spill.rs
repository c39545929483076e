//! A home without free slots passes requests on to another home.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use carobshore_entry::listeners::Listeners;
use carobshore_lib::homes::Homes;
use carobshore_lib::homes::HomesSettings;
use carobshore_lib::key_history::SKEW_MARGIN;
use carobshore_lib::peer_load::PeerLoad;
use carobshore_lib::prelude::DomainId;
use carobshore_lib::prelude::RequestKey;
use carobshore_lib::prelude::VmId;
use common::assert_outcome;
use common::field;
use common::raw_call;
use common::reporting_target;
use common::vm;
use common::vm::Vm;
use uuid::Uuid;

const DELAY: Duration = Duration::from_millis(400);

/// Two VMs in two failure domains. Each owns the target in its domain.
struct Pair {
    vms: Vec<Vm>,
    homes: Homes,
    ids: [VmId; 2],
}

fn pair(targets: [SocketAddr; 2]) -> Pair {
    let domains = ["a", "b"].map(|name| name.parse::<DomainId>().unwrap());
    let ids = ["entry-1.00000001", "entry-2.00000001"].map(|id| id.parse::<VmId>().unwrap());
    let mut config = vm::config("status", &targets);
    let service = "status".parse().unwrap();
    let spec = Arc::make_mut(config.services.get_mut(&service).unwrap());
    for (target, domain) in spec.targets.values_mut().zip(&domains) {
        target.domain = domain.clone();
    }
    let starts = ["--vm-name=entry-1", "--vm-name=entry-2"].map(|name| {
        let settings = vm::settings(&[name]);
        let listeners = Listeners::bind(&settings).unwrap();
        (settings, listeners)
    });
    let members = ids.iter().zip(&starts);
    let members: Vec<_> = members
        .map(|(id, (_, listeners))| (id, listeners.forward().unwrap()))
        .collect();
    let mut roster = vm::roster(&members);
    for (member, domain) in roster.members.values_mut().zip(&domains) {
        member.domain = domain.clone();
    }
    let spec = &config.services[&service];
    let homes = Homes::assign(&service, spec, &roster, &HomesSettings::default());
    let start = |((settings, listeners), (id, domain))| {
        let mut view = vm::view(id, config.clone(), roster.clone());
        view.domain = DomainId::clone(domain);
        Vm::start(settings, listeners, view)
    };
    let vms = starts
        .into_iter()
        .zip(ids.iter().zip(&domains))
        .map(start)
        .collect();
    Pair { vms, homes, ids }
}

/// Reports to the first VM that the second one has free slots, as a heartbeat would.
fn report_free_slots(pair: &Pair, free: u32) {
    let load = PeerLoad {
        vm: pair.ids[1].clone(),
        free,
        queued: 0,
    };
    pair.vms[0].update(|view| view.loads = vec![("status".parse().unwrap(), load)]);
}

fn call_all(listen: SocketAddr, requests: Vec<String>) -> Vec<String> {
    let calls: Vec<_> = requests
        .into_iter()
        .map(|request| {
            thread::sleep(Duration::from_millis(5));
            thread::spawn(move || raw_call(listen, request.as_bytes(), DELAY * 6))
        })
        .collect();
    calls.into_iter().map(|call| call.join().unwrap()).collect()
}

/// Guards against queueing requests at a home while another one has free slots.
#[test]
fn full_home_passes_requests_on() {
    let (near, _near_heads) = reporting_target(DELAY);
    let (far, far_heads) = reporting_target(DELAY);
    let pair = pair([near, far]);
    let request = "POST / HTTP/1.1\r\nhost: status\r\ncontent-length: 0\r\n\r\n".to_owned();
    report_free_slots(&pair, 2);
    let responses = call_all(pair.vms[0].listen, vec![request; 4]);
    for response in &responses {
        assert_outcome(response, "whole");
    }
    let heads: Vec<_> = far_heads.try_iter().collect();
    assert!(!heads.is_empty());
    assert!(
        heads.iter().all(|head| head.matches("via: ").count() == 2),
        "{heads:?}"
    );
}

/// Guards against the second home looking up the key in its own table: the owner keeps the entry,
/// so the second home would refuse the request. The target gets the key in any case, since it may
/// detect duplicates itself.
#[test]
fn key_stays_with_its_owner() {
    let (near, near_heads) = reporting_target(DELAY);
    let (far, far_heads) = reporting_target(DELAY);
    let pair = pair([near, far]);
    thread::sleep(SKEW_MARGIN + Duration::from_millis(300));
    let owned = |key: &Uuid| {
        let key = RequestKey::try_from(*key).unwrap();
        pair.homes.key_owner(&key) == Some(&pair.ids[0])
    };
    let keys = std::iter::repeat_with(Uuid::now_v7).filter(owned).take(4);
    let requests =
        keys.map(|key| format!("GET / HTTP/1.1\r\nhost: status\r\nidempotency-key: {key}\r\n\r\n"));
    let requests: Vec<_> = requests.collect();
    let sent = requests.concat();
    for free in [2, 1] {
        report_free_slots(&pair, free);
        for response in call_all(pair.vms[0].listen, requests.clone()) {
            assert_outcome(&response, "whole");
        }
    }
    let far_heads: Vec<_> = far_heads.try_iter().collect();
    let near_heads: Vec<_> = near_heads.try_iter().collect();
    assert!(!far_heads.is_empty());
    assert_eq!(far_heads.len() + near_heads.len(), 4, "a request ran twice");
    for head in far_heads {
        let key = field(&head, "idempotency-key").unwrap_or_default();
        assert!(sent.contains(key) && !key.is_empty(), "{head}");
        assert_eq!(field(&head, "carobshore-target-key"), None, "{head}");
        assert_eq!(field(&head, "carobshore-repeatable"), Some("no"), "{head}");
    }
}
