//! HTTP glue of all stand-ins: a server whose connections can be cut at once, and plain request and
//! reply types.

use std::{
    collections::HashMap,
    io,
    net::{SocketAddr, TcpListener},
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard},
    task::{Context, Poll},
    thread,
    time::Duration,
};

use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Method, Response, StatusCode,
    body::{Body as HttpBody, Bytes, Frame, Incoming, SizeHint},
    header::{CONTENT_TYPE, HOST, HeaderName, HeaderValue},
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde::{Serialize, de::DeserializeOwned};
use tokio::{runtime::Runtime, sync::mpsc};

use crate::port;

/// How long closing waits for tasks that still run.
const CLOSE: Duration = Duration::from_secs(5);
/// Largest body taken, in bytes.
const MAX_BODY: usize = 16 << 20;

/// What answers requests.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers one request. Dropped when the client goes away.
    fn handle(self: Arc<Self>, request: Request) -> impl Future<Output = Reply> + Send;
}

/// A running server. Dropping it cuts its connections and ends its tasks.
#[derive(Debug)]
pub(crate) struct Server {
    address: SocketAddr,
    runtime: Mutex<Option<Runtime>>,
}

impl Server {
    /// Listens on `address` (port 0: a free one) and answers by `handler`.
    pub(crate) fn bind<H: Handler>(address: SocketAddr, handler: Arc<H>) -> io::Result<Self> {
        let listener = port::listen(address)?;
        let server = Self { address: listener.local_addr()?, runtime: Mutex::new(None) };
        server.serve(listener, handler)?;
        Ok(server)
    }

    /// Listens again on the same address after [`Server::kill`].
    pub(crate) fn rebind<H: Handler>(&self, handler: Arc<H>) -> io::Result<()> {
        self.kill();
        self.serve(listen_again(self.address)?, handler)
    }

    /// The address that it listens on.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening, cuts all connections and ends all tasks. Returns when that is done.
    pub(crate) fn kill(&self) {
        let Some(runtime) = lock(&self.runtime).take() else { return };
        if tokio::runtime::Handle::try_current().is_ok() {
            runtime.shutdown_background();
        } else {
            runtime.shutdown_timeout(CLOSE);
        }
    }

    /// Runs `task` until it ends or the server is killed.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        if let Some(runtime) = lock(&self.runtime).as_ref() {
            runtime.spawn(task);
        }
    }

    fn serve<H: Handler>(&self, listener: TcpListener, handler: Arc<H>) -> io::Result<()> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .thread_name("standin")
            .enable_all()
            .build()?;
        listener.set_nonblocking(true)?;
        let listener = {
            let _context = runtime.enter();
            tokio::net::TcpListener::from_std(listener)?
        };
        runtime.spawn(accept(listener, handler));
        *lock(&self.runtime) = Some(runtime);
        Ok(())
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Locks `mutex`, also when a thread panicked while it held it: the stand-ins' state stays usable.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|it| it.into_inner())
}

/// Listens on an address that was in use a moment ago. A connection of another process may hold the
/// port for a while, which shows as "address in use"; waiting helps because such ports pass quickly.
fn listen_again(address: SocketAddr) -> io::Result<TcpListener> {
    for _ in 1..LISTEN_TRIES {
        match TcpListener::bind(address) {
            Err(it) if it.kind() == io::ErrorKind::AddrInUse => thread::sleep(LISTEN_PAUSE),
            result => return result,
        }
    }
    TcpListener::bind(address)
}

const LISTEN_TRIES: u32 = 100;
const LISTEN_PAUSE: Duration = Duration::from_millis(50);

/// Sends a request to another stand-in and reads the answer.
pub(crate) async fn call(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: Vec<u8>,
) -> io::Result<(StatusCode, Bytes)> {
    let socket = tokio::net::TcpStream::connect(address).await?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(socket))
        .await
        .map_err(io::Error::other)?;
    tokio::spawn(async move {
        // An error here also shows in the answer.
        let _ = connection.await;
    });
    let request = hyper::Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, address.to_string())
        .body(Body::Whole(Some(body.into())))
        .map_err(io::Error::other)?;
    let (head, body) = sender.send_request(request).await.map_err(io::Error::other)?.into_parts();
    let body = http_body_util::Limited::new(body, MAX_BODY);
    let body = body.collect().await.map_err(io::Error::other)?;
    Ok((head.status, body.to_bytes()))
}

async fn accept<H: Handler>(listener: tokio::net::TcpListener, handler: Arc<H>) {
    loop {
        let Ok((socket, _)) = listener.accept().await else { continue };
        // Token streams are many small writes; they must not wait for each other.
        let _ = socket.set_nodelay(true);
        let handler = Arc::clone(&handler);
        tokio::spawn(async move {
            let service = service_fn(|it| answer(Arc::clone(&handler), it));
            // An error here is the client's going away or a cut that was asked for.
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(socket), service)
                .await;
        });
    }
}

async fn answer<H: Handler>(
    handler: Arc<H>,
    request: hyper::Request<Incoming>,
) -> Result<Response<Body>, Cut> {
    let (head, body) = request.into_parts();
    let body = http_body_util::Limited::new(body, MAX_BODY);
    let Ok(body) = body.collect().await else {
        return Reply::error(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large or broke off")
            .into_response();
    };
    let request = Request {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: parse_query(head.uri.query().unwrap_or_default()),
        headers: head.headers,
        body: body.to_bytes(),
    };
    handler.handle(request).await.into_response()
}

fn parse_query(query: &str) -> HashMap<String, String> {
    let pairs = query.split('&').filter_map(|it| it.split_once('='));
    pairs.map(|(key, value)| (key.to_owned(), value.to_owned())).collect()
}

/// A request, read in full.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) query: HashMap<String, String>,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Request {
    /// The path's segments.
    pub(crate) fn segments(&self) -> Vec<&str> {
        self.path.split('/').skip(1).collect()
    }

    /// The header `name` as text.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// The header `name` as a number; `None` when it is absent or not a number.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.header(name)?.parse().ok()
    }

    /// The query parameter `name` as a number.
    pub(crate) fn parameter(&self, name: &str) -> Option<u64> {
        self.query.get(name)?.parse().ok()
    }

    /// The body as JSON, or the refusal to answer with.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, Reply> {
        serde_json::from_slice(&self.body)
            .map_err(|it| Reply::error(StatusCode::BAD_REQUEST, &it.to_string()))
    }
}

/// What to answer.
#[derive(Debug)]
pub(crate) enum Reply {
    /// An answer.
    Answer { status: StatusCode, headers: Vec<(&'static str, String)>, body: Body },
    /// Cuts the connection without an answer.
    Cut,
}

impl Reply {
    /// An empty answer.
    pub(crate) fn empty(status: StatusCode) -> Self {
        Self::bytes(status, Bytes::new())
    }

    /// An answer of `bytes`.
    pub(crate) fn bytes(status: StatusCode, bytes: impl Into<Bytes>) -> Self {
        Self::Answer { status, headers: Vec::new(), body: Body::Whole(Some(bytes.into())) }
    }

    /// 200 with `value` as JSON.
    pub(crate) fn json(value: &impl Serialize) -> Self {
        Self::json_status(StatusCode::OK, value)
    }

    /// `status` with `value` as JSON.
    pub(crate) fn json_status(status: StatusCode, value: &impl Serialize) -> Self {
        let bytes = serde_json::to_vec(value).unwrap_or_default();
        Self::bytes(status, bytes).with(CONTENT_TYPE.as_str(), "application/json")
    }

    /// An error with a message for people.
    pub(crate) fn error(status: StatusCode, message: &str) -> Self {
        Self::json_status(status, &serde_json::json!({ "error": { "message": message } }))
    }

    /// A refusal that says truthfully that nothing ran.
    pub(crate) fn not_run(status: StatusCode, message: &str) -> Self {
        Self::error(status, message).with("x-not-run", "1")
    }

    /// A stream of events.
    pub(crate) fn events(chunks: mpsc::Receiver<Result<Bytes, Cut>>) -> Self {
        let body = Body::Stream(chunks);
        Self::Answer { status: StatusCode::OK, headers: Vec::new(), body }
            .with(CONTENT_TYPE.as_str(), "text/event-stream")
    }

    /// The answer with one more header.
    pub(crate) fn with(mut self, name: &'static str, value: impl ToString) -> Self {
        if let Self::Answer { headers, .. } = &mut self {
            headers.push((name, value.to_string()));
        }
        self
    }

    fn into_response(self) -> Result<Response<Body>, Cut> {
        let Self::Answer { status, headers, body } = self else { return Err(Cut) };
        let mut response = Response::new(body);
        *response.status_mut() = status;
        for (name, value) in headers {
            if let Ok(value) = HeaderValue::try_from(value) {
                response.headers_mut().insert(HeaderName::from_static(name), value);
            }
        }
        Ok(response)
    }
}

/// The connection is to be cut.
#[derive(Debug)]
pub(crate) struct Cut;

impl std::fmt::Display for Cut {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the connection is cut on purpose")
    }
}

impl std::error::Error for Cut {}

/// Body of an answer. A closed stream is its end; a [`Cut`] in it cuts the connection.
#[derive(Debug)]
pub(crate) enum Body {
    Whole(Option<Bytes>),
    Stream(mpsc::Receiver<Result<Bytes, Cut>>),
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|it| Ok(Frame::data(it)))),
            Self::Stream(chunks) => {
                chunks.poll_recv(context).map(|it| it.map(|it| it.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |it| it.len() as u64))
            }
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
