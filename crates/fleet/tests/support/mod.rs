//! Support that the tests and the benches share.

// No test uses all of it.
#![allow(dead_code)]

pub(crate) mod simulation;
pub(crate) mod platform;
