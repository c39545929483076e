//! Helpers that the tests of every crate share.

pub mod manual_clock;
