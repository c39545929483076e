//! The order of the requests that found no target at once, who of them may look for one, and how many
//! slots are left free for more urgent requests.

pub mod entry_id;
pub mod fair_order;
pub mod fair_share;
pub mod priority;
pub mod queue_action;
pub mod queue_refusal;
pub mod queued_request;
pub mod return_times;
pub mod search_pace;
pub mod service_queue;
pub mod urgent_share;
