//! The requests that a connection to a target has carried.
//!
//! Guards against a response that a faulty target sends again. It belongs to an earlier request of
//! the connection, so it is told from the awaited one by the request id, as long as no two requests
//! of a connection have the same id.

use std::collections::HashSet;

use xxhash_rust::xxh3::xxh3_64;

/// The number of requests after which a connection is replaced.
const MAX_REQUESTS: usize = 1_024;

/// The ids of the requests that a connection has carried, as hashes. Two ids with the same hash only
/// cost a new connection.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CarriedIds(HashSet<u64>);

impl CarriedIds {
    /// Adds the id of a request.
    pub fn add(&mut self, id: &str) {
        self.0.insert(xxh3_64(id.as_bytes()));
    }

    /// Returns whether the connection may have carried a request with this id.
    pub fn has(&self, id: &str) -> bool {
        self.0.contains(&xxh3_64(id.as_bytes()))
    }

    /// Returns whether the connection is to be replaced.
    pub fn is_full(&self) -> bool {
        self.0.len() >= MAX_REQUESTS
    }
}
