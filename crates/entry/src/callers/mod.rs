//! Callers' HTTP: one thread accepts, and each connection has a thread of its own, up to a bound.

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

/// Stack of a connection's thread, in bytes.
const STACK: usize = 512 * 1024;
/// Longest time until the acceptor looks at its flag again.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a thread without a connection ends.
const IDLE: Duration = Duration::from_secs(10);
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1_024;
/// Silence after which the operating system asks whether a caller's host is still there.
const PROBE: Duration = Duration::from_secs(10);

/// A request whose head was read.
#[derive(Debug)]
struct Caller<'a> {
    connection: &'a mut Connection,
    head: Head,
    is_read: bool,
    keep: bool,
}

/// How a request was answered.
#[derive(Debug)]
enum Answered {
    /// By an answer that is still to be sent.
    Reply(Reply),
    /// By a stream; tells whether its end was sent.
    Streamed(bool),
}

impl From<Problem> for Answered {
    fn from(problem: Problem) -> Self {
        Self::Reply(problem.reply())
    }
}

/// A connection on its way to a thread, with its place in the count.
type Passed = (TcpStream, Counted);

/// Listens for callers.
///
/// # Errors
/// Fails when the address can't be listened on.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    // The standard library keeps 128 connections waiting; of more that come at once the rest would try again only
    // after a second, and those callers would have waited a second for nothing.
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Accepts connections until told to stop.
///
/// # Errors
/// Fails when the listener can't be prepared.
pub fn accept(entry: &Arc<Entry>, listener: &TcpListener) -> std::io::Result<()> {
    // Connections inherit these options.
    let socket = SockRef::from(listener);
    socket.set_read_timeout(Some(CHECK_INTERVAL))?;
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(PROBE).with_interval(PROBE))?;
    // A ring without places: a connection goes to a thread that waits for one, or to a new thread.
    let (ring, idle) = bounded(0);
    while !entry.stop.load(Ordering::Relaxed) {
        match listener.accept() {
            Ok((stream, _)) => open(entry, stream, &ring, &idle),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            // One connection that broke early, or a shortage of descriptors, must not end the acceptor.
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

/// Refuses a connection without a thread of its own.
fn turn_away(stream: &TcpStream) {
    counter!("gentian_refused_total", "cause" => "connections").increment(1);
    let problem = Problem::overloaded(Duration::from_secs(1));
    // The answer fits the empty send buffer of a new connection, so this never blocks the acceptor.
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
                    // A caller that has gone away needs no answer.
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
    /// Reads the body, once the caller is known.
    fn body(&mut self, entry: &Entry) -> Result<Vec<u8>, Problem> {
        if self.is_read {
            return Ok(Vec::new());
        }
        // Slow senders fill these places and no others, so that calls without a body go on.
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
