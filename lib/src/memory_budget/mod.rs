//! What clients that nobody controls may make a process hold: connections, bytes, and requests sent
//! ahead.
//!
//! [`ClientTable`](client_table::ClientTable) decides which connection is admitted, which bytes may be
//! held, and which connection has to go for another one.

pub mod client_id;
pub mod client_table;
pub mod connection_bounds;
pub mod memory_bounds;
pub mod phase;
pub mod pipeline_bounds;
pub mod pressure;
