//! What an operator wants to change.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::change::Change;
use crate::item_id::ItemId;
use crate::operator_id::OperatorId;

/// Changes that come into force together, or not at all, when a confirm names them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// Who published the intent.
    pub operator: OperatorId,
    /// Why, for the other operator; may be empty.
    #[serde(default)]
    pub note: Box<str>,
    /// The changes in their order.
    pub changes: Vec<Change>,
}

impl Intent {
    /// Returns the services and routes that the intent touches.
    pub fn items(&self) -> BTreeSet<ItemId> {
        self.changes.iter().map(Change::item).collect()
    }
}
