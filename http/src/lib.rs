//! HTTP/1.1 messages and connections for a load balancer.
//!
//! Message heads and chunk sizes are parsed by `httparse`. This crate handles connections itself,
//! because neither the server nor the client of `ntex` can serve pipelined requests concurrently,
//! forward request targets byte for byte, skip a late extra response on a connection, or tell a
//! closed connection from a reset one.

pub mod body;
pub mod client;
pub mod fields;
pub mod head;
pub mod message_error;
pub mod persistent_client;
pub mod socket;
