//! Listens for peers and holds their connections.

use std::{convert::Infallible, future, io, net::SocketAddr, sync::Arc, thread, time::Duration};

use hyper::{Request, StatusCode, body::Incoming, server::conn::http1, service};
use hyper_util::rt::{TokioIo, TokioTimer};
use shallotlead_base::code::Code;
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    runtime::{self, Runtime},
    sync::{Semaphore, watch},
    task::JoinHandle,
    time,
};

use crate::http::{
    Bounds, Serve,
    floor::{Floor, Place},
    socket::Socket,
};

const BACKLOG: u32 = 1_024;
/// Answer bytes that wait in the kernel for a peer that doesn't read. The kernel doubles it.
const SEND_BUFFER: u32 = 64 << 10;
/// Pause after a failed accept, as when the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// How long a closed connection is read on, so that the peer can take the answer.
const LINGER: Duration = Duration::from_millis(500);
/// How many bytes are read on at most.
const LINGER_BYTES: usize = 256 << 10;
const LINGER_CHUNK: usize = 4 << 10;
/// Connections that are being turned away with an answer.
const MAX_REFUSALS: usize = 64;
/// How often the end of open connections is looked for.
const DRAIN_PAUSE: Duration = Duration::from_millis(10);

/// An address that is bound but not yet served.
#[derive(Debug)]
pub(crate) struct Bound {
    runtime: Runtime,
    socket: TcpListener,
    address: SocketAddr,
}

/// A running server.
#[derive(Debug)]
pub(crate) struct Server {
    runtime: Runtime,
    address: SocketAddr,
    floor: Arc<Floor>,
    accepting: JoinHandle<()>,
    stop: watch::Sender<bool>,
}

/// Threads of a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Threads {
    /// That hold connections.
    pub(crate) connections: usize,
    /// That carry out blocking work, at most.
    pub(crate) blocking: usize,
}

impl Bound {
    /// Binds `address`.
    pub(crate) fn bind(name: &str, address: SocketAddr, threads: Threads) -> io::Result<Self> {
        let runtime = runtime::Builder::new_multi_thread()
            .worker_threads(threads.connections)
            .max_blocking_threads(threads.blocking)
            .thread_name(name)
            .enable_all()
            .build()?;
        let socket = runtime.block_on(async { listen(address) })?;
        let address = socket.local_addr()?;
        Ok(Self { runtime, socket, address })
    }

    /// The address, with its real port.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts to serve.
    pub(crate) fn serve(self, bounds: Bounds, service: Arc<impl Serve>) -> Server {
        let Self { runtime, socket, address } = self;
        let floor = Arc::new(Floor::new(bounds.connections, bounds.connections_per_peer));
        let (stop, stopped) = watch::channel(false);
        let accepting = runtime.spawn(accept(socket, service, bounds, Arc::clone(&floor), stopped));
        Server { runtime, address, floor, accepting, stop }
    }
}

impl Server {
    /// The address, with its real port.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening, lets each connection finish the answer that it is writing, and ends. The
    /// wait ends: a peer that doesn't read its answer is cut after the stall timeout.
    pub(crate) fn finish(self) {
        self.stop.send_replace(true);
        while 0 < self.floor.open() {
            thread::sleep(DRAIN_PAUSE);
        }
        self.kill();
    }

    /// Ends at once, as a crash would. The address is free when this returns.
    pub(crate) fn kill(self) {
        self.accepting.abort();
        // Cancelled or finished: in both cases the socket is closed.
        let _ = self.runtime.block_on(self.accepting);
        self.runtime.shutdown_background();
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_send_buffer_size(SEND_BUFFER)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn accept<S: Serve>(
    socket: TcpListener,
    service: Arc<S>,
    bounds: Bounds,
    floor: Arc<Floor>,
    mut stopped: watch::Receiver<bool>,
) {
    let refusals = Arc::new(Semaphore::new(MAX_REFUSALS));
    loop {
        let accepted = tokio::select! {
            accepted = socket.accept() => accepted,
            _ = stopped.wait_for(|it| *it) => return,
        };
        let Ok((stream, peer)) = accepted else {
            time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        match floor.enter(peer.ip()) {
            Some(place) => {
                let service = Arc::clone(&service);
                tokio::spawn(hold(service, bounds, stream, place, stopped.clone()));
            }
            None => turn_away(&*service, stream, &refusals),
        }
    }
}

fn turn_away(service: &impl Serve, mut stream: TcpStream, refusals: &Arc<Semaphore>) {
    metrics::counter!("shallotlead_connections_refused_total").increment(1);
    // Guards against a flood that is answered at the cost of the peers inside: beyond a few at a
    // time, connections are dropped without a word.
    let Ok(permit) = Arc::clone(refusals).try_acquire_owned() else {
        return;
    };
    let answer = refusal(service, Code::TooManyConnections);
    tokio::spawn(async move {
        // The peer may be gone; there is nobody else to tell.
        let _ = time::timeout(LINGER, async {
            stream.write_all(&answer).await?;
            linger(stream).await
        })
        .await;
        drop(permit);
    });
}

async fn hold<S: Serve>(
    service: Arc<S>,
    bounds: Bounds,
    stream: TcpStream,
    place: Place,
    mut stopped: watch::Receiver<bool>,
) {
    // Tokens are small and must not wait for one another. A socket without it only is slower.
    let _ = stream.set_nodelay(true);
    let io = TokioIo::new(Socket::new(stream, bounds.stall_timeout));
    let answers = service::service_fn(|request: Request<Incoming>| {
        let answer = Arc::clone(&service).serve(request);
        Box::pin(async { Ok::<_, Infallible>(answer.await) })
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(bounds.head_timeout)
        .max_headers(bounds.headers)
        .max_header_size(bounds.head_bytes)
        .max_buf_size(bounds.head_bytes)
        .serve_connection(io, answers);
    let mut stopping = false;
    let result = loop {
        tokio::select! {
            result = future::poll_fn(|cx| connection.poll_without_shutdown(cx)) => break result,
            _ = stopped.wait_for(|it| *it), if !stopping => {
                stopping = true;
                std::pin::Pin::new(&mut connection).graceful_shutdown();
            }
        }
    };
    let parts = connection.into_parts();
    let mut socket = parts.io.into_inner();
    let late = result.is_err_and(|it| it.is_timeout());
    if late && !parts.read_buf.is_empty() {
        let answer = refusal(&*service, Code::RequestTimeout);
        // The peer may be gone; there is nobody else to tell.
        let _ = time::timeout(LINGER, socket.write_all(&answer)).await;
    }
    // Guards against a lost error: closing while the peer still sends resets the connection, and
    // the peer would see the reset in place of the answer. Reading on for a little lets it arrive.
    let _ = time::timeout(LINGER, linger(socket)).await;
    drop(place);
}

async fn linger(mut socket: impl AsyncRead + AsyncWrite + Unpin) -> io::Result<()> {
    socket.shutdown().await?;
    // On the heap: it would grow every connection's state otherwise.
    let mut chunk = vec![0; LINGER_CHUNK];
    let mut left = LINGER_BYTES;
    while 0 < left {
        match socket.read(&mut chunk).await? {
            0 => return Ok(()),
            count => left = left.saturating_sub(count),
        }
    }
    Ok(())
}

fn refusal(service: &impl Serve, code: Code) -> Vec<u8> {
    let body = service.refuse(code);
    let reason = StatusCode::from_u16(code.status())
        .ok()
        .and_then(|it| it.canonical_reason())
        .unwrap_or_default();
    format!(
        "HTTP/1.1 {} {reason}\r\nconnection: close\r\ncontent-type: application/json\r\n\
         x-code: {}\r\nx-execution: not-run\r\ncontent-length: {}\r\n\r\n{body}",
        code.status(),
        code.number(),
        body.len(),
    )
    .into_bytes()
}
