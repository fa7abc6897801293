//! The HTTP server for callers: one thread accepts connections, and each connection has its own thread, up to a bound.

mod chat;
mod checked_chat;
mod http;
mod monitor;
mod problem;
mod request_counts;
mod resume;
mod run;
mod service;
mod sse;

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use contract::CustomerId;
use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use inbound::intake::{Held, Lease, RECEIVE_BUFFER_BYTES};
use metrics::counter;
use socket2::{Domain, SockRef, Socket, TcpKeepalive, Type};

use crate::EntryHost;
use http::{Connection, Head, Reply};
use problem::{FULL_RETRY_AFTER, Problem};
use request_counts::CountGuard;

pub use request_counts::RequestCounts;
pub use run::adopt;

/// Stack size of a connection's thread, in bytes.
const STACK_BYTES: usize = 512 * 1024;
/// Longest time between two checks of the stop flag.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(50);
/// Time after which a thread without a connection exits.
const THREAD_IDLE_TIME: Duration = Duration::from_secs(10);
/// Length of the kernel's queue of connections that wait to be accepted.
const LISTEN_BACKLOG: i32 = 1_024;
/// Idle time before, and interval between, TCP keep-alive probes.
const KEEPALIVE_TIME: Duration = Duration::from_secs(10);

/// A request whose head was read, with its connection.
#[derive(Debug)]
struct CallerRequest<'a> {
    connection: &'a mut Connection,
    head: Head,
    body_read: bool,
    /// Memory of the body, once it was read.
    held: Option<Held>,
    keep_alive: bool,
}

/// The response to a request.
#[derive(Debug)]
enum Response {
    /// A response that is still to be sent.
    Reply(Reply),
    /// A response that was streamed; `true` if its end was sent.
    Streamed(bool),
}

impl From<Problem> for Response {
    fn from(problem: Problem) -> Self {
        Self::Reply(problem.reply())
    }
}

/// An accepted connection, the guard that counts it and what it holds.
type CountedConnection = (TcpStream, CountGuard, Lease);

/// Opens the listening socket for callers.
///
/// # Errors
/// Fails if the address can't be bound.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    // Accepted connections inherit the size. A system that does not support it keeps its own bound.
    let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES as usize);
    socket.bind(&address.into())?;
    // The standard library uses a backlog of 128. In a larger burst the kernel drops the rest, and those callers retry
    // the handshake only after a second.
    socket.listen(LISTEN_BACKLOG)?;
    Ok(socket.into())
}

/// Accepts connections until the process stops.
///
/// # Errors
/// Fails if a socket option can't be set.
pub fn accept(entry: &Arc<EntryHost>, listener: &TcpListener) -> std::io::Result<()> {
    // Accepted connections inherit these options.
    let socket = SockRef::from(listener);
    socket.set_read_timeout(Some(ACCEPT_TIMEOUT))?;
    socket.set_tcp_keepalive(
        &TcpKeepalive::new()
            .with_time(KEEPALIVE_TIME)
            .with_interval(KEEPALIVE_TIME),
    )?;
    // A channel without capacity: a connection goes to a thread that is already waiting, or else to a new thread.
    let (queue, idle) = bounded(0);
    while !entry.stop.load(Ordering::Relaxed) {
        match listener.accept() {
            Ok((stream, _)) => dispatch(entry, stream, &queue, &idle),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            // A connection that was reset before the accept, or a lack of file descriptors, must not end the loop.
            Err(_) => {
                counter!("gentian_accept_errors_total").increment(1);
                std::thread::sleep(ACCEPT_TIMEOUT);
            }
        }
    }
    Ok(())
}

fn dispatch(
    entry: &Arc<EntryHost>,
    stream: TcpStream,
    queue: &Sender<CountedConnection>,
    idle: &Receiver<CountedConnection>,
) {
    let Ok(lease) = entry.intake.open() else {
        return refuse(&stream);
    };
    let connection = (stream, entry.request_counts.count_connection(), lease);
    let Err(TrySendError::Full(first) | TrySendError::Disconnected(first)) = queue.try_send(connection) else {
        return;
    };
    let (entry, idle) = (Arc::clone(entry), idle.clone());
    let thread = std::thread::Builder::new()
        .name("caller".to_owned())
        .stack_size(STACK_BYTES);
    let spawned = thread.spawn(move || {
        let mut next = Some(first);
        while let Some((stream, guard, lease)) = next {
            serve_connection(&entry, stream, lease);
            drop(guard);
            next = idle.recv_timeout(THREAD_IDLE_TIME).ok();
        }
    });
    if spawned.is_err() {
        counter!("gentian_refused_total", "cause" => "threads").increment(1);
    }
}

/// Refuses a connection on the accepting thread.
fn refuse(stream: &TcpStream) {
    counter!("gentian_refused_total", "cause" => "connections").increment(1);
    let problem = Problem::overloaded(FULL_RETRY_AFTER);
    // The response fits the empty send buffer of a new connection, so this never blocks.
    let _ = problem.reply().send(stream, None, false);
}

fn serve_connection(entry: &EntryHost, stream: TcpStream, lease: Lease) {
    let Ok(mut connection) = Connection::new(stream, lease) else {
        return;
    };
    loop {
        let head = match connection.read_head() {
            Ok(head) => head,
            Err(error) => {
                if let Some(problem) = problem::from_read_error(&error) {
                    counter!("gentian_refused_total", "cause" => "malformed").increment(1);
                    // A failure means that the caller is gone.
                    let _ = problem.reply().send(connection.stream(), None, false);
                    connection.discard_and_close();
                }
                return;
            }
        };
        let open_request = entry.request_counts.count_request();
        let body_read = head.body_length == http::BodyLength::Bytes(0);
        let keep_alive = head.keep_alive && !entry.leaving.load(Ordering::Relaxed);
        let mut caller = CallerRequest {
            connection: &mut connection,
            head,
            body_read,
            held: None,
            keep_alive,
        };
        let response = route(entry, &mut caller);
        let keep_alive = caller.keep_alive && caller.body_read;
        let sent = match response {
            Response::Reply(reply) => reply
                .send(caller.connection.stream(), Some(&caller.head), keep_alive)
                .is_ok(),
            Response::Streamed(ended) => ended && caller.head.accepts_chunks,
        };
        let unread = !caller.body_read;
        drop(open_request);
        if unread {
            return connection.discard_and_close();
        }
        if !(sent && keep_alive) {
            return;
        }
    }
}

fn route(entry: &EntryHost, caller: &mut CallerRequest<'_>) -> Response {
    let path = caller.head.path().to_owned();
    if let Some(id) = path.strip_prefix("/v1/requests/") {
        return match caller.head.method.as_str() {
            "GET" | "HEAD" => resume::answer(entry, caller, id),
            _ => Problem::method_not_allowed("GET").into(),
        };
    }
    if entry.refusing.load(Ordering::Relaxed) {
        counter!("gentian_refused_total", "cause" => "leaving").increment(1);
        return Problem::leaving().into();
    }
    if path == "/v1/chat/completions" {
        return match caller.head.method.as_str() {
            "POST" => chat::answer(entry, caller),
            _ => Problem::method_not_allowed("POST").into(),
        };
    }
    if path.starts_with("/services/") {
        return service::answer(entry, caller);
    }
    Problem::not_found("there is no such path").into()
}

impl CallerRequest<'_> {
    /// Reads the body; called only after the caller was authenticated as a customer.
    fn body(&mut self, entry: &EntryHost, customer: &CustomerId) -> Result<Vec<u8>, Problem> {
        if self.body_read {
            return Ok(Vec::new());
        }
        // Slow senders can take only these slots, so that requests without a body are still served.
        let _reader = entry
            .request_counts
            .count_reader(entry.settings.connections / 2)
            .ok_or_else(|| Problem::overloaded(FULL_RETRY_AFTER))?;
        let http::Body { bytes, held } = self
            .connection
            .read_body(&self.head, customer.as_str())
            .map_err(|error| problem::from_read_error(&error).unwrap_or_else(|| Problem::bad_request(error)))?;
        self.body_read = true;
        self.held = Some(held);
        Ok(bytes)
    }
}
