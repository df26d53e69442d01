//! Command line, demo and load tool.

pub(crate) mod columns;
pub mod caller;
pub mod command;
pub mod demo;
pub mod load;
pub mod traffic;
pub mod world;
