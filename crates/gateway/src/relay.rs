//! Connections to upstreams through other entry hosts: opens them for requests of this host, and passes on those of
//! others.
//!
//! A relay passes bytes and knows no requests, so that everything a request may do is decided by one host. It connects to
//! upstreams only on its own link: nothing is passed on twice.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use derive_more::{Display, Error, From};
use inbound::intake::Lease;
use metrics::{counter, gauge};
use policy::relays::Relays;
use rustix::net::RecvFlags;
use serde::Serialize;
use serde::de::DeserializeOwned;
use slog::{info, warn};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::time::{Instant, sleep_until, timeout};
use wire::relay::{self, EndMark, FrameError, HEAD_BYTES, RelayRefusal, RelayReply, RelayRequest};

use crate::gate::Gateway;
use crate::pool::open;

/// Longest wait for a message of the relay protocol.
const HELLO_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for a connection to another entry host.
const HOST_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest wait of a relay for a connection to an upstream.
const UPSTREAM_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Longest wait for the answer of a relay: its own wait and the way there.
const REPLY_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without a byte in either direction after which a relayed connection is closed; longer than any request waits.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);
/// Time for which a relay waits for the other host to close after the upstream has.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Buffer for each direction of a relayed connection.
const BUFFER_BYTES: usize = 8 * 1024;

/// A failed exchange of messages with another entry host.
#[derive(Debug, Display, Error, From)]
pub(crate) enum RelayError {
    /// No entry host is known that may reach the upstream.
    #[display("no other host is known that reaches the service")]
    NoHost,
    /// The connection failed.
    #[display("{_0}")]
    Io(io::Error),
    /// The other side speaks another protocol.
    #[display("message {_0}")]
    Frame(FrameError),
    /// The other host refused.
    #[display("refused: {_0}")]
    #[error(ignore)]
    Refused(RelayRefusal),
}

impl RelayError {
    /// Returns whether the upstream wants nothing of the host that was asked.
    pub(crate) const fn is_held(&self) -> bool {
        matches!(self, Self::Refused(RelayRefusal::Held(_)))
    }

    /// Returns whether the failure concerns the upstream and not the host that was asked.
    pub(crate) const fn is_of_upstream(&self) -> bool {
        matches!(self, Self::Refused(RelayRefusal::Unreached(_) | RelayRefusal::Unlisted))
    }
}

/// Counts a connection through another host for as long as it is open.
#[derive(Debug)]
pub struct RelayLease {
    relays: Rc<RefCell<Relays>>,
    /// The host that relays.
    pub(crate) host: SocketAddr,
}

impl RelayLease {
    pub(crate) fn new(relays: &Rc<RefCell<Relays>>, host: SocketAddr) -> Self {
        relays.borrow_mut().record_opened(host);
        Self {
            relays: Rc::clone(relays),
            host,
        }
    }
}

impl Drop for RelayLease {
    fn drop(&mut self) {
        self.relays.borrow_mut().record_closed(self.host);
    }
}

/// Opens a connection to an upstream through another host.
///
/// # Errors
/// Fails if the host does not answer or refuses; nothing was sent to the upstream then.
pub(crate) async fn connect_through(host: SocketAddr, request: &RelayRequest) -> Result<TcpStream, RelayError> {
    let mut stream = timeout(HOST_CONNECT_TIMEOUT, open(host, None))
        .await
        .map_err(io::Error::from)??;
    stream.set_nodelay(true)?;
    stream.write_all(&relay::encode(request)?).await?;
    match timeout(REPLY_TIMEOUT, read_message(&mut stream))
        .await
        .map_err(io::Error::from)??
    {
        RelayReply::Connected => Ok(stream),
        RelayReply::Refused(refusal) => Err(RelayError::Refused(refusal)),
    }
}

async fn read_message<T: DeserializeOwned>(stream: &mut TcpStream) -> Result<T, RelayError> {
    let mut head = [0; HEAD_BYTES];
    stream.read_exact(&mut head).await?;
    let mut body = vec![0; relay::body_length(head)?];
    stream.read_exact(&mut body).await?;
    Ok(relay::decode(&body)?)
}

async fn write_message<T: Serialize>(stream: &mut TcpStream, message: &T) -> Result<(), RelayError> {
    Ok(stream.write_all(&relay::encode(message)?).await?)
}

/// Passes on the connection of another host.
pub(crate) async fn serve(gateway: Rc<Gateway>, mut stream: TcpStream, lease: Lease) {
    let hello = read_message::<RelayRequest>(&mut stream);
    let Ok(received) = lease.wait_for_peer(timeout(HELLO_TIMEOUT, hello)).await else {
        return;
    };
    let request = match received.map_err(|late| RelayError::Io(late.into())).flatten() {
        Ok(request) => request,
        Err(error) => {
            counter!("gentian_gateway_relayed_total", "result" => "unreadable").increment(1);
            warn!(gateway.logger, "relay request not readable"; "peer" => peer_of(&stream), "error" => %error);
            return;
        }
    };
    gateway.relayed.set(gateway.relayed.get() + 1);
    gauge!("gentian_gateway_relayed_count").set(gateway.relayed.get() as f64);
    // If this fails, the connection is only slower.
    let _ = stream.set_nodelay(true);
    match open_relayed(&gateway, &request).await {
        Ok(upstream) => {
            counter!("gentian_gateway_relayed_total", "result" => "connected").increment(1);
            if write_message(&mut stream, &RelayReply::Connected).await.is_ok() {
                copy_both(&mut stream, upstream, request.end_mark).await;
            }
        }
        Err(refusal) => {
            counter!("gentian_gateway_relayed_total", "result" => "refused").increment(1);
            info!(gateway.logger, "connection not relayed"; "request" => &request.request, "from" => %request.from,
                "service" => %request.service, "upstream" => &request.upstream, "why" => %refusal,
                "relayed" => gateway.relayed.get());
            // The other host is gone if this fails.
            let _ = write_message(&mut stream, &RelayReply::Refused(refusal)).await;
        }
    }
    gateway.relayed.set(gateway.relayed.get() - 1);
    gauge!("gentian_gateway_relayed_count").set(gateway.relayed.get() as f64);
}

fn peer_of(stream: &TcpStream) -> Option<String> {
    stream.peer_addr().ok().map(|address| address.to_string())
}

/// Connects to an upstream for another host.
async fn open_relayed(gateway: &Gateway, request: &RelayRequest) -> Result<TcpStream, RelayRefusal> {
    if let Some(news) = &request.news {
        gateway.record_relayed_news(&request.upstream, news);
        return Err(RelayRefusal::Held("as told".to_owned()));
    }
    if gateway.planned_stop().is_some() {
        return Err(RelayRefusal::Stopping);
    }
    if gateway.relayed.get() > gateway.settings.bounds.relayed {
        return Err(RelayRefusal::Full);
    }
    if gateway.is_isolated(&request.service) {
        return Err(RelayRefusal::Isolated);
    }
    let address = gateway
        .upstreams
        .borrow()
        .address_of(&request.service, &request.upstream);
    let address = address.ok_or(RelayRefusal::Unlisted)?;
    gateway
        .claim_relayed(&request.upstream)
        .map_err(|hold| RelayRefusal::Held(hold.to_string()))?;
    let connected = timeout(UPSTREAM_CONNECT_TIMEOUT, open(address, gateway.settings.source)).await;
    let stream = connected.map_err(io::Error::from).flatten();
    let stream = stream.map_err(|error| RelayRefusal::Unreached(error.to_string()))?;
    gateway.record_connected(&request.service, &request.upstream);
    // If this fails, the connection is only slower.
    let _ = stream.set_nodelay(true);
    if gateway.may_log() {
        info!(gateway.logger, "connection relayed"; "request" => &request.request, "from" => %request.from,
            "service" => %request.service, "upstream" => &request.upstream, "address" => %address,
            "relayed" => gateway.relayed.get());
    }
    Ok(stream)
}

/// Copies bytes in both directions until one side ends, or nothing has come for long.
///
/// A caller that leaves must end the work at the upstream, so the end of the other host's side closes both. A reset of
/// the upstream's side is passed on as a reset, since an orderly end may complete a response.
async fn copy_both(host: &mut TcpStream, mut upstream: TcpStream, end_mark: Option<EndMark>) {
    let (host_reader, mut host_writer) = host.split();
    let (upstream_reader, upstream_writer) = upstream.split();
    let last_byte = Cell::new(Instant::now());
    let (uploading, answering) = (Cell::new(false), Cell::new(false));
    let ended = tokio::select! {
        () = copy_requests(host_reader, upstream_writer, &last_byte, &uploading) => return,
        ended = copy(upstream_reader, &mut host_writer, &last_byte, &answering) => ended,
        () = wait_idle(&last_byte) => return,
    };
    // The end of a connection that has not taken the whole request may be a reset, which the write has seen.
    let is_accepted = !uploading.get() && !has_unread(host_writer.as_ref());
    match ended {
        Ok(()) if is_accepted => {
            if let Some(mark) = end_mark {
                // Without the mark, the other host takes the response for incomplete.
                let _ = host_writer.write_all(&mark.0).await;
            }
            // Closing with unread bytes would reset the connection before the other host has read the response.
            if host_writer.shutdown().await.is_ok() {
                let _ = timeout(CLOSE_TIMEOUT, discard(host)).await;
            }
        }
        Ok(()) | Err(_) => {
            // If this fails, the connection ends in order, which the other host takes for an incomplete response too.
            let _ = host.set_zero_linger();
        }
    }
}

/// Copies requests until the other host closes. When only the upstream accepts no more, its response may still come.
async fn copy_requests(
    reader: ReadHalf<'_>,
    mut writer: WriteHalf<'_>,
    last_byte: &Cell<Instant>,
    is_writing: &Cell<bool>,
) {
    let copied = copy(reader, &mut writer, last_byte, is_writing).await;
    if copied.is_err_and(|side| side == Side::Writer) {
        std::future::pending::<()>().await;
    }
}

/// Side on which a copy failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Side {
    Reader,
    Writer,
}

/// Returns whether bytes have arrived that were not read yet.
fn has_unread(stream: &TcpStream) -> bool {
    let peek = RecvFlags::PEEK | RecvFlags::DONTWAIT;
    rustix::net::recv(stream, &mut [0_u8], peek).is_ok_and(|(count, _)| count > 0)
}

/// Copies bytes from one side to the other; `is_writing` tells whether the other one has not accepted all of them.
async fn copy(
    mut reader: ReadHalf<'_>,
    writer: &mut WriteHalf<'_>,
    last_byte: &Cell<Instant>,
    is_writing: &Cell<bool>,
) -> Result<(), Side> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = reader.read(&mut buffer).await.map_err(|_broken| Side::Reader)?;
        if count == 0 {
            return Ok(());
        }
        last_byte.set(Instant::now());
        is_writing.set(true);
        let written = writer.write_all(&buffer[..count]).await;
        written.map_err(|_broken| Side::Writer)?;
        is_writing.set(false);
    }
}

/// Waits until no byte has come in either direction for [`IDLE_TIMEOUT`].
async fn wait_idle(last_byte: &Cell<Instant>) {
    while last_byte.get().elapsed() < IDLE_TIMEOUT {
        sleep_until(last_byte.get() + IDLE_TIMEOUT).await;
    }
}

async fn discard(stream: &mut TcpStream) -> io::Result<()> {
    let mut buffer = [0; 256];
    while stream.read(&mut buffer).await? > 0 {}
    Ok(())
}
