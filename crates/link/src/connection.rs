//! Reading and writing on one connection.

use std::{sync::Arc, time::Duration};

use quinn::{ReadExactError, ReadToEndError, RecvStream, SendStream, VarInt};
use shallotlead_base::code::Code;
use tokio::{
    sync::{OwnedSemaphorePermit, oneshot},
    time,
};

use crate::{
    error::Error,
    frame::{Frame, HEADER, Header, Kind},
    inbox::{Received, Responder},
    stats::Counters,
    table::Link,
    task::Shared,
    tls,
};

/// A frame must be complete this long after its stream began.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Tells the peer that its frame is refused.
const REFUSED: VarInt = VarInt::from_u32(Code::MessageInvalid as u32);

/// Takes what the peer sends until the connection ends.
pub(crate) async fn serve(shared: Arc<Shared>, link: Link) {
    let connection = &link.connection;
    let err = loop {
        tokio::select! {
            datagram = connection.read_datagram() => match datagram {
                Ok(bytes) => take_datagram(&shared, &link, &bytes),
                Err(err) => break err,
            },
            stream = connection.accept_uni() => match stream {
                Ok(recv) => {
                    tokio::spawn(take_message(Arc::clone(&shared), link.clone(), recv));
                }
                Err(err) => break err,
            },
            stream = connection.accept_bi() => match stream {
                Ok((send, recv)) => {
                    tokio::spawn(take_request(Arc::clone(&shared), link.clone(), send, recv));
                }
                Err(err) => break err,
            },
        }
    };
    shared.table.remove(connection);
    match tls::failure(&err) {
        // The peer checks our certificate after we think that the connection stands.
        err @ (Error::PeerUnknown(_) | Error::Version) => shared.refuse(&err, &link.peer),
        _ => log::debug!("the connection to {} ended: {err}", link.peer),
    }
}

fn take_datagram(shared: &Shared, link: &Link, bytes: &[u8]) {
    shared.table.touch(&link.connection);
    let frame = match Frame::decode(bytes, shared.limits.max_body) {
        Ok(frame) if frame.version == link.version && frame.kind == Kind::Message => frame,
        _ => return shared.refuse(&Error::Invalid, &link.peer),
    };
    let received = received(link, frame.body, None, None);
    match shared.inbox.try_send(received) {
        Ok(()) => Counters::add(&shared.counters.messages),
        Err(_) => Counters::add(&shared.counters.dropped),
    }
}

async fn take_message(shared: Arc<Shared>, link: Link, mut recv: RecvStream) {
    let Some((body, memory)) = take_frame(&shared, &link, &mut recv, Kind::Message).await else {
        return;
    };
    deliver(&shared, received(&link, body, None, Some(memory))).await;
}

async fn take_request(shared: Arc<Shared>, link: Link, mut send: SendStream, mut recv: RecvStream) {
    let Some((body, memory)) = take_frame(&shared, &link, &mut recv, Kind::Request).await else {
        let _ = send.reset(REFUSED);
        return;
    };
    let (tx, rx) = oneshot::channel();
    deliver(&shared, received(&link, body, Some(Responder { tx }), Some(memory))).await;
    let body = tokio::select! {
        body = rx => body.ok(),
        // The requester's deadline has passed, or the connection broke.
        _ = send.stopped() => None,
    };
    let frame = body
        .and_then(|it| Frame::encode(link.version, Kind::Reply, &it, shared.limits.max_body).ok());
    let Some(frame) = frame else {
        // Fails when the stream is gone already.
        let _ = send.reset(REFUSED);
        return;
    };
    if send.write_all(&frame).await.is_ok() {
        let _ = send.finish();
        let _ = send.stopped().await;
    }
}

/// Asks the peer and waits for its answer.
pub(crate) async fn request(shared: &Shared, link: &Link, body: &[u8]) -> Result<Vec<u8>, Error> {
    let frame = Frame::encode(link.version, Kind::Request, body, shared.limits.max_body)
        .map_err(|_| Error::Invalid)?;
    let broken = || match link.connection.close_reason() {
        Some(reason) => tls::failure(&reason),
        None => Error::Unreachable("the request was not answered".into()),
    };
    let (mut send, mut recv) = link.connection.open_bi().await.map_err(|_| broken())?;
    send.write_all(&frame).await.map_err(|_| broken())?;
    send.finish().map_err(|_| broken())?;
    match read_frame(shared, link, &mut recv, Kind::Reply).await {
        Ok((body, _)) => Ok(body),
        Err(Fault::Invalid) => {
            shared.refuse(&Error::Invalid, &link.peer);
            Err(Error::Invalid)
        }
        Err(Fault::Broken) => Err(broken()),
    }
}

/// Sends a message on a stream of its own.
pub(crate) async fn send_stream(link: &Link, frame: &[u8]) -> Result<(), Error> {
    let broken = |_| Error::Unreachable("the connection broke".into());
    let mut send = link.connection.open_uni().await.map_err(broken)?;
    let lost = || Error::Unreachable("the stream broke".into());
    send.write_all(frame).await.map_err(|_| lost())?;
    send.finish().map_err(|_| lost())
}

/// Why no frame came.
enum Fault {
    /// The peer broke the rules.
    Invalid,
    /// The stream or connection ended.
    Broken,
}

async fn take_frame(
    shared: &Shared,
    link: &Link,
    recv: &mut RecvStream,
    kind: Kind,
) -> Option<(Vec<u8>, OwnedSemaphorePermit)> {
    shared.table.touch(&link.connection);
    let read = time::timeout(READ_TIMEOUT, read_frame(shared, link, recv, kind)).await;
    match read {
        Ok(Ok(frame)) => Some(frame),
        Ok(Err(Fault::Broken)) => None,
        Ok(Err(Fault::Invalid)) | Err(_) => {
            shared.refuse(&Error::Invalid, &link.peer);
            // Fails when the stream is gone already.
            let _ = recv.stop(REFUSED);
            None
        }
    }
}

/// Reads one frame. Memory for the body is taken from what all connections share, so that peers
/// which send much at once wait for each other instead of filling the instance.
async fn read_frame(
    shared: &Shared,
    link: &Link,
    recv: &mut RecvStream,
    kind: Kind,
) -> Result<(Vec<u8>, OwnedSemaphorePermit), Fault> {
    let mut header = [0; HEADER];
    recv.read_exact(&mut header).await.map_err(cut)?;
    let header = Header::decode(header, shared.limits.max_body).map_err(|_| Fault::Invalid)?;
    if header.kind != kind || header.version != link.version {
        return Err(Fault::Invalid);
    }
    let permits = u32::try_from(header.length).map_err(|_| Fault::Invalid)?;
    let memory = Arc::clone(&shared.memory).acquire_many_owned(permits).await;
    let memory = memory.map_err(|_| Fault::Broken)?;
    let mut body = vec![0; header.length];
    recv.read_exact(&mut body).await.map_err(cut)?;
    match recv.read_to_end(0).await {
        Ok(_) => Ok((body, memory)),
        Err(ReadToEndError::TooLong) => Err(Fault::Invalid),
        Err(ReadToEndError::Read(_)) => Err(Fault::Broken),
    }
}

fn cut(err: ReadExactError) -> Fault {
    match err {
        ReadExactError::FinishedEarly(_) => Fault::Invalid,
        ReadExactError::ReadError(_) => Fault::Broken,
    }
}

fn received(
    link: &Link,
    body: Vec<u8>,
    responder: Option<Responder>,
    memory: Option<OwnedSemaphorePermit>,
) -> Received {
    Received { peer: link.peer.clone(), version: link.version, body, responder, _memory: memory }
}

/// Waits for room in the inbox; the peer's streams are held back meanwhile.
async fn deliver(shared: &Shared, received: Received) {
    match shared.inbox.send(received).await {
        Ok(()) => Counters::add(&shared.counters.messages),
        Err(_) => Counters::add(&shared.counters.dropped),
    }
}
