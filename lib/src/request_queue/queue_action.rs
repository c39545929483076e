//! What the caller of a queue has to carry out.

use crate::request_queue::entry_id::EntryId;
use crate::request_queue::queue_refusal::QueueRefusal;

/// A consequence of a change of the queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QueueAction {
    /// The place of the request among those that may look for a target has changed.
    Wake(EntryId),
    /// The request has been removed, and is to be refused.
    Refuse(EntryId, QueueRefusal),
}
