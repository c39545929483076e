//! A change of the configuration that an operator proposes.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::change::Change;
use crate::item_id::ItemId;
use crate::operator_id::OperatorId;

/// Changes that a confirm puts into force, either all of them or none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// The operator who published the intent.
    pub operator: OperatorId,
    /// The reason for the change, for other operators; may be empty.
    #[serde(default)]
    pub note: Box<str>,
    /// The changes, in the order in which they are applied.
    pub changes: Vec<Change>,
}

impl Intent {
    /// Returns the services and routes that the intent changes.
    pub fn items(&self) -> BTreeSet<ItemId> {
        self.changes.iter().map(Change::item).collect()
    }
}
