//! Peers that open many connections to a process, send unfinished requests and stay, and the memory and descriptors that
//! the process takes meanwhile.

use std::fs;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Receive buffer of a connection; answers are not read, and are to stay with the process.
const RECEIVE_BUFFER_BYTES: usize = 4 * 1024;
/// Time without an accepted byte on any connection after which a crowd stops sending.
const SILENCE: Duration = Duration::from_secs(1);
/// Longest time for which a crowd sends.
const MAX_SEND_TIME: Duration = Duration::from_mins(1);
/// Pause before blocked connections are tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(2);
/// Interval between two samples of a process.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Connections of one kind of peer. They are closed when the crowd is dropped.
#[derive(Debug)]
pub struct Crowd(Vec<TcpStream>);

impl Crowd {
    /// Opens connections; the process under test may refuse some.
    #[must_use]
    pub fn connect(address: SocketAddr, count: usize) -> Self {
        let connect = |_| {
            let socket = Socket::new(Domain::for_address(address), Type::STREAM, None).ok()?;
            socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).ok()?;
            socket.connect_timeout(&address.into(), CONNECT_TIMEOUT).ok()?;
            socket.set_nonblocking(true).ok()?;
            Some(socket.into())
        };
        Self((0..count).filter_map(connect).collect())
    }

    /// Sends the same bytes on each connection, `piece` bytes of each in turn, until all are sent or nothing more is
    /// accepted. Connections that the process closes meanwhile leave the crowd. Answers are not read.
    pub fn send(&mut self, bytes: &[u8], piece: usize) {
        let (started, mut moved) = (Instant::now(), Instant::now());
        let mut left: Vec<(TcpStream, usize)> = self.0.drain(..).map(|stream| (stream, 0)).collect();
        while moved.elapsed() < SILENCE && started.elapsed() < MAX_SEND_TIME {
            let mut has_moved = false;
            left.retain_mut(|(stream, sent)| {
                let part = &bytes[*sent..bytes.len().min(*sent + piece)];
                match stream.write(part) {
                    Ok(count) => {
                        *sent += count;
                        has_moved |= count > 0;
                        true
                    }
                    Err(error) => matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
                }
            });
            if left.iter().all(|(_, sent)| *sent == bytes.len()) {
                break;
            }
            if has_moved {
                moved = Instant::now();
            } else {
                thread::sleep(RETRY_PAUSE);
            }
        }
        self.0.extend(left.into_iter().map(|(stream, _)| stream));
    }
}

/// What a process took at most while it was watched.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Resident memory, and bytes that had arrived at its addresses or from its peers and were not read.
    pub memory_bytes: u64,
    /// Bytes that had arrived and were not read.
    pub unread_bytes: u64,
    /// Open file descriptors.
    pub descriptors: usize,
}

/// Watches a process until it is finished.
#[derive(Debug)]
pub struct UsageWatch {
    stop: Arc<AtomicBool>,
    sampler: JoinHandle<Usage>,
}

impl UsageWatch {
    /// Starts to watch a process that listens on some addresses.
    #[must_use]
    pub fn start(process: u32, addresses: &[SocketAddr]) -> Self {
        Self::start_with(process, addresses, &[])
    }

    /// Starts to watch a process that listens on some addresses, and is the only one that connects to some peers.
    #[must_use]
    pub fn start_with(process: u32, addresses: &[SocketAddr], peers: &[SocketAddr]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let names = |addresses: &[SocketAddr]| addresses.iter().map(table_name).collect::<Vec<_>>();
        let (stopped, locals, peers) = (Arc::clone(&stop), names(addresses), names(peers));
        let sampler = thread::spawn(move || {
            let mut most = Usage::default();
            while !stopped.load(Ordering::Relaxed) {
                let unread_bytes = unread_bytes(&locals, &peers);
                let memory_bytes = resident_bytes(process, "VmRSS:") + unread_bytes;
                most.unread_bytes = most.unread_bytes.max(unread_bytes);
                most.memory_bytes = most.memory_bytes.max(memory_bytes);
                most.descriptors = most.descriptors.max(descriptors(process));
                thread::sleep(SAMPLE_INTERVAL);
            }
            most.memory_bytes = most.memory_bytes.max(resident_bytes(process, "VmHWM:"));
            most
        });
        Self { stop, sampler }
    }

    /// Returns the most that the process took since the start.
    ///
    /// # Panics
    /// Panics when the sampling thread did.
    #[must_use]
    pub fn finish(self) -> Usage {
        self.stop.store(true, Ordering::Relaxed);
        self.sampler.join().expect("the sampling thread ends")
    }
}

fn resident_bytes(process: u32, field: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or_default() * 1_024
}

fn descriptors(process: u32) -> usize {
    fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
}

/// Returns an IPv4 address as the kernel's table of connections names it.
fn table_name(address: &SocketAddr) -> String {
    let SocketAddr::V4(address) = address else {
        return String::new();
    };
    let bytes = u32::from_ne_bytes(address.ip().octets());
    format!("{bytes:08X}:{:04X}", address.port())
}

/// Returns the bytes that wait in the kernel on connections from some local addresses, or to some peers.
fn unread_bytes(locals: &[String], peers: &[String]) -> u64 {
    const LISTENING: &str = "0A";
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let unread = |line: &str| {
        let mut fields = line.split_whitespace().skip(1);
        let (local, peer, state, queues) = (fields.next()?, fields.next()?, fields.next()?, fields.next()?);
        let counts = locals.iter().any(|name| name == local) || peers.iter().any(|name| name == peer);
        if state == LISTENING || !counts {
            return None;
        }
        u64::from_str_radix(queues.split_once(':')?.1, 16).ok()
    };
    table.lines().filter_map(unread).sum()
}
