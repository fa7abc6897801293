//! The HTTP server for callers: one thread accepts connections, and each connection has its own thread, up to a bound.

mod ask;
mod chat;
mod http;
mod problem;
mod requests;
mod run;
mod service;
mod shared;
mod sse;
mod watch;

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use metrics::counter;
use socket2::{Domain, SockRef, Socket, TcpKeepalive, Type};

use crate::Entry;
use http::{Connection, Head, Reply};
use problem::Problem;
use shared::Counted;

pub use run::adopt;
pub use shared::Shared;

/// Stack size of a connection's thread, in bytes.
const STACK: usize = 512 * 1024;
/// Longest time between two checks of the stop flag.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a thread without a connection exits.
const IDLE: Duration = Duration::from_secs(10);
/// Length of the kernel's queue of connections that wait to be accepted.
const BACKLOG: i32 = 1_024;
/// Idle time before, and interval between, TCP keep-alive probes.
const PROBE: Duration = Duration::from_secs(10);

/// A request whose head was read, with its connection.
#[derive(Debug)]
struct Caller<'a> {
    connection: &'a mut Connection,
    head: Head,
    is_read: bool,
    keep: bool,
}

/// The response to a request.
#[derive(Debug)]
enum Answered {
    /// A response that is still to be sent.
    Reply(Reply),
    /// A response that was streamed; `true` if its end was sent.
    Streamed(bool),
}

impl From<Problem> for Answered {
    fn from(problem: Problem) -> Self {
        Self::Reply(problem.reply())
    }
}

/// An accepted connection and the guard that counts it.
type Passed = (TcpStream, Counted);

/// Opens the listening socket for callers.
///
/// # Errors
/// Fails if the address can't be bound.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    // The standard library uses a backlog of 128. In a larger burst the kernel drops the rest, and those callers retry
    // the handshake only after a second.
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Accepts connections until the process stops.
///
/// # Errors
/// Fails if a socket option can't be set.
pub fn accept(entry: &Arc<Entry>, listener: &TcpListener) -> std::io::Result<()> {
    // Accepted connections inherit these options.
    let socket = SockRef::from(listener);
    socket.set_read_timeout(Some(CHECK_INTERVAL))?;
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(PROBE).with_interval(PROBE))?;
    // A channel without capacity: a connection goes to a thread that is already waiting, or else to a new thread.
    let (ring, idle) = bounded(0);
    while !entry.stop.load(Ordering::Relaxed) {
        match listener.accept() {
            Ok((stream, _)) => open(entry, stream, &ring, &idle),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            // A connection that was reset before the accept, or a lack of file descriptors, must not end the loop.
            Err(_) => {
                counter!("gentian_accept_errors_total").increment(1);
                std::thread::sleep(CHECK_INTERVAL);
            }
        }
    }
    Ok(())
}

fn open(entry: &Arc<Entry>, stream: TcpStream, ring: &Sender<Passed>, idle: &Receiver<Passed>) {
    let Some(place) = entry.callers.connect(entry.settings.connections) else {
        return turn_away(&stream);
    };
    let Err(TrySendError::Full(first) | TrySendError::Disconnected(first)) = ring.try_send((stream, place)) else {
        return;
    };
    let (entry, idle) = (Arc::clone(entry), idle.clone());
    let thread = std::thread::Builder::new().name("caller".to_owned()).stack_size(STACK);
    let spawned = thread.spawn(move || {
        let mut next = Some(first);
        while let Some((stream, place)) = next {
            converse(&entry, stream);
            drop(place);
            next = idle.recv_timeout(IDLE).ok();
        }
    });
    if spawned.is_err() {
        counter!("gentian_refused_total", "cause" => "threads").increment(1);
    }
}

/// Refuses a connection on the accepting thread.
fn turn_away(stream: &TcpStream) {
    counter!("gentian_refused_total", "cause" => "connections").increment(1);
    let problem = Problem::overloaded(Duration::from_secs(1));
    // The response fits the empty send buffer of a new connection, so this never blocks.
    let _ = problem.reply().send(stream, None, false);
}

fn converse(entry: &Entry, stream: TcpStream) {
    let Ok(mut connection) = Connection::new(stream) else {
        return;
    };
    loop {
        let head = match connection.head() {
            Ok(head) => head,
            Err(broken) => {
                if let Some(problem) = problem::of_broken(&broken) {
                    counter!("gentian_refused_total", "cause" => "malformed").increment(1);
                    // A failure means that the caller is gone.
                    let _ = problem.reply().send(connection.stream(), None, false);
                    connection.linger();
                }
                return;
            }
        };
        let work = entry.callers.begin();
        let is_read = head.length == http::Length::Bytes(0);
        let keep = head.keep && !entry.leaving.load(Ordering::Relaxed);
        let mut caller = Caller {
            connection: &mut connection,
            head,
            is_read,
            keep,
        };
        let answered = answer(entry, &mut caller);
        let keep = caller.keep && caller.is_read;
        let sent = match answered {
            Answered::Reply(reply) => reply.send(caller.connection.stream(), Some(&caller.head), keep).is_ok(),
            Answered::Streamed(ended) => ended && caller.head.chunks,
        };
        let unread = !caller.is_read;
        drop(work);
        if unread {
            return connection.linger();
        }
        if !(sent && keep) {
            return;
        }
    }
}

fn answer(entry: &Entry, caller: &mut Caller<'_>) -> Answered {
    let path = caller.head.path().to_owned();
    if let Some(id) = path.strip_prefix("/v1/requests/") {
        return match caller.head.method.as_str() {
            "GET" | "HEAD" => requests::answer(entry, caller, id),
            _ => Problem::method("GET").into(),
        };
    }
    if entry.refusing.load(Ordering::Relaxed) {
        counter!("gentian_refused_total", "cause" => "leaving").increment(1);
        return Problem::leaving().into();
    }
    if path == "/v1/chat/completions" {
        return match caller.head.method.as_str() {
            "POST" => chat::answer(entry, caller),
            _ => Problem::method("POST").into(),
        };
    }
    if path.starts_with("/services/") {
        return service::answer(entry, caller);
    }
    Problem::not_found("there is no such path").into()
}

impl Caller<'_> {
    /// Reads the body; called only after the caller was authenticated.
    fn body(&mut self, entry: &Entry) -> Result<Vec<u8>, Problem> {
        if self.is_read {
            return Ok(Vec::new());
        }
        // Slow senders can take only these slots, so that requests without a body are still served.
        let _reader = entry
            .callers
            .reader(entry.settings.connections / 2)
            .ok_or_else(|| Problem::overloaded(Duration::from_secs(1)))?;
        let body = self
            .connection
            .body(&self.head)
            .map_err(|broken| problem::of_broken(&broken).unwrap_or_else(|| Problem::bad_request(broken)))?;
        self.is_read = true;
        Ok(body)
    }
}
