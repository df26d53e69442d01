//! Vocabulary shared by every crate: names, identifiers, time, result codes and the object store's
//! calls. Nothing here does I/O.

pub mod code;
pub mod hash;
pub mod id;
pub mod load;
pub mod name;
pub mod store;
pub mod time;
