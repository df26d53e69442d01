//! The operators' table: rows are organisations, models and backend servers; cells hold weights and
//! limits. Also how the table lies in the object store and how a change is accepted there.

pub mod cell;
pub mod change;
pub mod column;
pub mod commit;
pub mod error;
pub mod layout;
pub mod limit;
pub mod model;
pub mod organisation;
pub mod row;
pub mod server;
pub mod sheet;
pub mod snapshot;
