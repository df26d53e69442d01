//! What the tests and the bench of this crate share.

// Each test uses its part of it.
#![allow(dead_code)]

pub(crate) mod simulation;
pub(crate) mod platform;
