//! The side towards callers: HTTP/1.1 connections on a small runtime of its own.

mod addresses;
mod answer;
mod body;
mod budget;
mod context;
mod failure;
mod headers;
mod listener;
mod models;
mod prompt;
mod route;
mod stream;
mod unique;
mod work;
#[cfg(test)]
mod tests;

pub(crate) use self::listener::{Bound, Listener};
