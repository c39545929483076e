//! Guards against numbers, addresses and texts of other processes that are taken without a check.

use std::collections::BTreeSet;

use carobshore_lib::endpoint::Endpoint;
use carobshore_lib::json_integer::JsonInteger;
use carobshore_lib::keep_alive::KeepAlive;
use carobshore_lib::keyed_record::KeyedRecord;
use carobshore_lib::limit_lenders::Lender;
use carobshore_lib::limit_lenders::LimitLenders;
use carobshore_lib::log_page::LogPage;
use carobshore_lib::malformed_entries::Finding;
use carobshore_lib::malformed_entries::MalformedEntries;
use carobshore_lib::prelude::Offset;
use carobshore_lib::prelude::StoreEra;
use carobshore_lib::prelude::StorePosition;
use carobshore_lib::prelude::TargetId;
use carobshore_lib::prelude::Version;
use carobshore_lib::record_patch::RecordPatch;
use carobshore_lib::shortened::Shortened;
use carobshore_lib::store_mirror::Changes;

fn at(offset: u64) -> StorePosition {
    StorePosition::new(StoreEra::default(), offset)
}

#[test]
fn a_number_that_some_readers_round_is_refused() {
    let largest = JsonInteger::MAX.get();
    assert_eq!(largest.to_string().parse(), Ok(JsonInteger::MAX));
    for text in ["9007199254740992", "18446744073709551615", "-1", "1.0", ""] {
        assert!(text.parse::<JsonInteger>().is_err(), "{text}");
        assert!(serde_json::from_str::<JsonInteger>(text).is_err(), "{text}");
    }
}

#[test]
fn an_address_that_is_not_that_of_one_process_is_refused() {
    for text in ["127.0.0.1:1", "[::1]:65535"] {
        assert!(text.parse::<Endpoint>().is_ok(), "{text}");
    }
    for text in [
        "127.0.0.1:0",
        "127.0.0.1:65536",
        "0.0.0.0:80",
        "[::]:80",
        "224.0.0.1:80",
        "host:80",
    ] {
        assert!(text.parse::<Endpoint>().is_err(), "{text}");
    }
}

#[test]
fn a_connection_is_reused_within_the_keep_alive_time_only() {
    let last = std::time::Instant::now();
    let after = |millis| last + std::time::Duration::from_millis(millis);
    let ten = KeepAlive::try_from(10).expect("a time");
    assert!(ten.allows_reuse(last, after(8_900)));
    assert!(!ten.allows_reuse(last, after(9_000)), "a second is left");
    let none = KeepAlive::try_from(0).expect("a time");
    assert!(!none.allows_reuse(last, last));
}

#[test]
fn each_malformed_entry_is_found_once() {
    let mut entries = MalformedEntries::default();
    assert_eq!(entries.found(at(3), "a"), Finding::New);
    assert_eq!(entries.found(at(3), "a"), Finding::Known);
    assert_eq!(entries.found(at(5), "a"), Finding::Further);
    assert_eq!(entries.found(at(4), "a"), Finding::Known);
    entries.replaced(at(4), "a");
    assert_eq!(entries.len(), 1, "an older entry replaces nothing");
    entries.replaced(at(6), "a");
    assert_eq!(entries.found(at(7), "a"), Finding::New);
    entries.retain(&BTreeSet::from(["b"]));
    assert!(entries.is_empty());
}

/// Guards against a log that another writer fills.
#[test]
fn entries_under_any_number_of_keys_take_bounded_memory_and_lines() {
    let mut entries = MalformedEntries::default();
    let found = (0..10_000).map(|offset| entries.found(at(offset), &format!("k-{offset}")));
    let logged = found.filter(|finding| *finding == Finding::New).count();
    assert!(logged <= 1_000, "{logged}");
    assert_eq!(entries.len(), logged);
}

#[test]
fn a_quoted_text_is_shortened_between_characters() {
    assert_eq!(Shortened("brief").to_string(), "brief");
    let shown = Shortened(&"ü".repeat(100_000)).to_string();
    assert!(shown.len() < 500, "{}", shown.len());
    assert!(shown.ends_with("... (200000 bytes)"), "{shown}");
}

/// Guards against offsets to which nothing can be added, in what the log, the store and other VMs say.
#[test]
fn messages_with_offsets_beyond_the_range_are_refused() {
    let largest = u64::MAX;
    let record = format!(r#"{{"offset":{largest},"key":"k","value":null}}"#);
    assert!(serde_json::from_str::<KeyedRecord>(&record).is_err());
    let changes = format!(r#"{{"next":{largest},"whole":true,"records":[]}}"#);
    assert!(serde_json::from_str::<Changes>(&changes).is_err());
    let patch = r#"{"key":"k","offset":1,"base":N,"patch":{"steps":[],"digest":0}}"#;
    let patch = patch.replace('N', &largest.to_string());
    assert!(serde_json::from_str::<RecordPatch>(&patch).is_err());
    for (first, next) in [(largest, 0), (0, largest)] {
        let page = format!(r#"{{"first":{first},"next":{next},"records":[]}}"#);
        assert!(serde_json::from_str::<LogPage>(&page).is_err(), "{page}");
    }
    assert!(serde_json::from_str::<Version>(&largest.to_string()).is_err());
    assert!(largest.to_string().parse::<Offset>().is_err());
}

/// Guards against a VM that is never asked again for a request to a limited target.
#[test]
fn a_vm_that_has_nothing_for_an_endless_time_is_asked_again() {
    let now = std::time::Instant::now();
    let target: TargetId = "t".parse().expect("a target id");
    let vm = "127.0.0.1:1".parse().expect("an address");
    let lender = Lender {
        target: target.clone(),
        vm,
    };
    let mut lenders = LimitLenders::default();
    let endless = std::time::Duration::from_millis(u64::MAX);
    lenders.refused(now, lender, Some(endless));
    let next = lenders.next_in(now, &target).expect("a time");
    assert!(next <= std::time::Duration::from_secs(60), "{next:?}");
}
