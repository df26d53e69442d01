//! The head of a server's answer, and its body to read.

use std::{fmt, io::Read, sync::Arc};

use shallotlead_base::id::{Incarnation, Weights};

/// A server's answer.
pub(crate) struct Answer {
    /// HTTP status.
    pub(crate) status: u16,
    /// Content type.
    pub(crate) content_type: Arc<str>,
    /// The attempt that the server says it answers, as it came.
    pub(crate) attempt: Option<Arc<str>>,
    /// The life of the server that answers, when it said.
    pub(crate) incarnation: Option<Incarnation>,
    /// The weights that the server has loaded, when it refused because others were meant.
    pub(crate) weights: Option<Weights>,
    /// The server says that nothing ran.
    pub(crate) not_run: bool,
    /// Bytes of the body. Ends with an error when the connection breaks before the body's end.
    pub(crate) body: Box<dyn Read + Send>,
}

impl fmt::Debug for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Answer")
            .field("status", &self.status)
            .field("attempt", &self.attempt)
            .field("incarnation", &self.incarnation)
            .field("not_run", &self.not_run)
            .finish_non_exhaustive()
    }
}
