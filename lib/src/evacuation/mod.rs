//! Failure domains whose targets must get no requests, by order of the operators.

pub mod domain_state;
pub mod evacuations;
