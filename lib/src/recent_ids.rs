//! The ids of the most recent records, for detecting duplicates.

use std::collections::HashSet;
use std::collections::VecDeque;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error as _;
use uuid::Uuid;

use crate::record_id::RecordId;

/// The number of ids that are kept. Duplicates come from writers that retry an append whose
/// response was lost; they give up long before this many other records have been appended (see
/// [`crate::appender`]).
pub const REMEMBERED_IDS: usize = 16_384;

const ID_BYTES: usize = 16;

/// A bounded set of ids that evicts the oldest ones.
///
/// It is serialized as one base64 string of the ids, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RecentIds {
    order: VecDeque<RecordId>,
    known: HashSet<RecordId>,
}

impl RecentIds {
    /// Adds an id; returns false if it is present already.
    pub(crate) fn insert(&mut self, id: RecordId) -> bool {
        if !self.known.insert(id) {
            return false;
        }
        self.order.push_back(id);
        if self.order.len() > REMEMBERED_IDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
        true
    }
}

impl Serialize for RecentIds {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let bytes: Vec<u8> = self
            .order
            .iter()
            .flat_map(|id| id.0.as_bytes())
            .copied()
            .collect();
        serializer.serialize_str(&STANDARD.encode(bytes))
    }
}

impl<'de> Deserialize<'de> for RecentIds {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = Box::<str>::deserialize(deserializer)?;
        let bytes = STANDARD.decode(text.as_bytes()).map_err(D::Error::custom)?;
        if bytes.len() % ID_BYTES != 0 {
            return Err(D::Error::custom("the recent ids are truncated"));
        }
        let mut ids = Self::default();
        for id in bytes.chunks_exact(ID_BYTES) {
            let id = Uuid::from_slice(id).map_err(D::Error::custom)?;
            ids.insert(RecordId(id));
        }
        Ok(ids)
    }
}
