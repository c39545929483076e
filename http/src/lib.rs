//! HTTP/1.1 messages and connections for a load balancer.
//!
//! Message heads and chunk sizes are parsed by `httparse`. The connections are this crate's own,
//! because the load balancer needs what neither the server nor the client of `ntex` offers: it
//! serves pipelined requests at the same time, passes request targets on byte for byte, skips a
//! late extra response on a connection, and tells a closed connection from a reset one.

pub mod body;
pub mod client;
pub mod fields;
pub mod head;
pub mod message_error;
pub mod persistent_client;
pub mod socket;
