//! Guards against requests that count as another organisation's, or that need no key although they
//! should.

use std::collections::BTreeMap;

use carobshore_lib::access::access_table::AccessTable;
use carobshore_lib::access::access_table::UnknownKey;
use carobshore_lib::access::allowed_regions::AllowedRegions;
use carobshore_lib::access::key_hash::KeyHash;
use carobshore_lib::access::organisation::Organisation;
use carobshore_lib::access::organisation_id::OrganisationId;
use carobshore_lib::access::presented_key::PresentedKey;
use proptest::prelude::*;

fn organisation(name: &str) -> Organisation {
    Organisation {
        id: name.parse().expect("an organisation id"),
        priority: None,
        quota: None,
        regions: AllowedRegions::default(),
    }
}

fn table(holders: &[(&str, &[&str])]) -> Result<AccessTable, carobshore_lib::prelude::Error> {
    let holders = holders.iter().map(|(name, keys)| {
        let hashes = keys.iter().map(|key| KeyHash::of(key.as_bytes()));
        (organisation(name), hashes.collect())
    });
    AccessTable::try_from(holders.collect::<Vec<_>>())
}

fn hash(key: &str) -> PresentedKey {
    PresentedKey::Hash(KeyHash::of(key.as_bytes()))
}

#[test]
fn only_a_known_key_or_a_public_route_lets_a_request_in() {
    let table = table(&[("a", &["k1", "k2"]), ("b", &["k3"])]).expect("a table");
    let holder = |key, public| {
        let found = table.authorise(key, public);
        found.map(|found| found.map(|found| found.id.to_string()))
    };
    assert_eq!(holder(hash("k2"), false), Ok(Some("a".to_owned())));
    assert_eq!(holder(hash("k3"), true), Ok(Some("b".to_owned())));
    for key in [
        hash("K2"),
        hash("k"),
        PresentedKey::None,
        PresentedKey::Invalid,
    ] {
        assert_eq!(holder(key, false), Err(UnknownKey), "{key:?}");
        assert_eq!(holder(key, true), Ok(None), "{key:?}");
    }
}

#[test]
fn a_key_or_a_name_that_two_organisations_have_is_an_error() {
    assert!(table(&[("a", &["k"]), ("b", &["l", "k"])]).is_err());
    assert!(table(&[("a", &["k"]), ("a", &["l"])]).is_err());
    assert!(table(&[("a", &["k", "k"]), ("b", &[])]).is_ok());
}

#[test]
fn an_id_fits_into_a_header_field() {
    for text in ["", "a b", "a\r\nX: y", "\u{e9}", &"x".repeat(129)] {
        assert!(text.parse::<OrganisationId>().is_err(), "{text:?}");
    }
    assert!("Kaje_80/x".parse::<OrganisationId>().is_ok());
}

#[test]
fn a_hash_does_not_show_the_key() {
    let hash = KeyHash::of(b"26tta828m82thhkmgjqn");
    let shown = format!("{hash} {hash:?}");
    assert!(!shown.contains("26tta") && shown.len() < 32, "{shown}");
}

proptest! {
    /// Versions come in any order and any number: each request belongs to the holder of its key by the
    /// newest version that was applied, and to nobody if that version has no holder.
    #[test]
    fn after_a_storm_of_versions_the_newest_one_holds(
        versions in prop::collection::vec(prop::collection::btree_map(0_u8..12, 0_u8..4, 0..8), 1..20),
    ) {
        let mut newest = BTreeMap::new();
        let mut in_force = AccessTable::default();
        for keys in versions {
            let mut holders: BTreeMap<u8, Vec<KeyHash>> = BTreeMap::new();
            for (key, owner) in &keys {
                holders.entry(*owner).or_default().push(KeyHash::of(&[*key]));
            }
            let holders: Vec<_> = holders
                .into_iter()
                .map(|(owner, keys)| (organisation(&format!("o{owner}")), keys))
                .collect();
            in_force = AccessTable::try_from(holders).expect("a table");
            newest = keys;
        }
        for key in 0..12_u8 {
            let found = in_force.authorise(PresentedKey::Hash(KeyHash::of(&[key])), false);
            let owner = found.ok().flatten().map(|found| found.id.to_string());
            prop_assert_eq!(owner, newest.get(&key).map(|owner| format!("o{owner}")));
        }
    }
}
