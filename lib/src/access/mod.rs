//! Who may send which requests: organisations, their keys, and what they are allowed.
//!
//! The operators' configuration is the only source. A configuration without organisations has no
//! [`AccessTable`](access_table::AccessTable), and its requests need no key.

pub mod access_table;
pub mod allowed_regions;
pub mod key_hash;
pub mod organisation;
pub mod organisation_id;
pub mod presented_key;
pub mod quota;
pub mod region_rule;
