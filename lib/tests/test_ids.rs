//! Tests of ids, sizes and result codes.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::UNIX_EPOCH;

use carobshore_lib::prelude::*;

#[test]
fn names_reject_characters_invalid_in_headers_and_hosts() {
    for text in ["", "-a", "A", "a b", "a\n", "ä", &"a".repeat(64)] {
        let error = text.parse::<ServiceId>().unwrap_err();
        assert_eq!(error.code, ResultCode::BadName, "{text:?}");
    }
    let json = serde_json::from_str::<TargetId>("\"UPPER\"");
    assert!(json.is_err(), "deserializing must not bypass the check");
    assert_eq!(
        "status-1.tawe".parse::<TargetId>().unwrap().to_string(),
        "status-1.tawe"
    );
}

#[test]
fn incarnations_distinguish_restarts_of_a_vm() {
    let first = VmId::with_incarnation("entry-1", 7).unwrap();
    let second = VmId::with_incarnation("entry-1", 8).unwrap();
    assert_ne!(first, second);
    assert_eq!(first.vm_name(), "entry-1");
}

#[test]
fn a_request_key_must_be_a_uuid_v7() {
    let key: RequestKey = "\"01890a5d-ac96-774b-bcce-b302099a8057\"".parse().unwrap();
    assert_eq!(
        key.created(),
        UNIX_EPOCH + Duration::from_millis(0x0189_0a5d_ac96)
    );
    for text in ["", "order-17", "9b2e4b0c-3f0a-4c53-8a71-3f2f1d9a1c11"] {
        assert_eq!(
            text.parse::<RequestKey>().unwrap_err().code,
            ResultCode::BadRequestKey
        );
    }
}

#[test]
fn sizes_and_budgets_round_trip() {
    assert_eq!("64KiB".parse::<ByteSize>().unwrap(), ByteSize(65_536));
    assert_eq!(ByteSize(65_536).to_string(), "64KiB");
    assert_eq!("30ms/s".parse::<TargetTime>().unwrap(), TargetTime(30_000));
    assert_eq!(
        "30000us/s".parse::<TargetTime>().unwrap().to_string(),
        "30000us/s"
    );
    for text in [
        "",
        "-1",
        "99999999999999999999",
        "1s",
        "18446744073709551615ms",
    ] {
        assert!(text.parse::<TargetTime>().is_err(), "{text:?}");
    }
    assert!("0".parse::<Slots>().is_err());
    assert!("17179869184GiB".parse::<ByteSize>().is_err());
}

#[test]
fn result_codes_are_unique_and_documented() {
    let numbers: BTreeSet<_> = ResultCode::ALL.iter().map(|code| code.number()).collect();
    assert_eq!(numbers.len(), ResultCode::ALL.len());
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/result-codes.md");
    let page = std::fs::read_to_string(path).unwrap();
    for code in ResultCode::ALL {
        let row = format!("| {} | `{}` |", code.number(), code.name());
        assert!(
            page.contains(&row),
            "docs/result-codes.md lacks the row `{row}`"
        );
    }
}
