//! Helpers that the tests of every crate share.

pub mod keys;
pub mod manual_clock;
