//! A connector that notes when a connection came about, and tells a lost one from one that was closed.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use ureq::{
    Error,
    unversioned::transport::{ConnectionDetails, Connector, TcpConnector},
};

use crate::backend::http::transport::Stream;

/// Wraps the TCP connector and marks success, so that a failed call can say truthfully that not one
/// byte was sent.
#[derive(Debug)]
pub(crate) struct Marker {
    connected: Arc<AtomicBool>,
    tcp: TcpConnector,
}

impl Marker {
    /// Sets `connected` once a connection stands.
    pub(crate) fn new(connected: Arc<AtomicBool>) -> Self {
        Self { connected, tcp: TcpConnector::default() }
    }
}

impl Connector for Marker {
    type Out = Stream<<TcpConnector as Connector>::Out>;

    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        chained: Option<()>,
    ) -> Result<Option<Self::Out>, Error> {
        let transport = self.tcp.connect(details, chained)?;
        self.connected.store(true, Ordering::Release);
        Ok(transport.map(Stream::new))
    }
}
