//! A TCP proxy between two processes that counts bytes and can drop out silently.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

/// Most bytes that are forwarded at once.
const BUFFER_BYTES: usize = 16 * 1024;
/// Interval at which a cut link checks whether it is restored or closed.
const STATE_POLL: Duration = Duration::from_millis(100);
/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A proxy that listens on loopback and forwards to one address.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    target: SocketAddr,
    bytes: AtomicU64,
    cut: AtomicBool,
    closed: AtomicBool,
}

impl Link {
    /// Starts a proxy to an address.
    ///
    /// # Errors
    /// Fails when no port or thread is available.
    pub fn open(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            target,
            bytes: AtomicU64::new(0),
            cut: AtomicBool::new(false),
            closed: AtomicBool::new(false),
        });
        let listener_state = Arc::clone(&shared);
        std::thread::Builder::new()
            .name("link".to_owned())
            .spawn(move || listener_state.accept(&listener))?;
        Ok(Self { address, shared })
    }

    /// Returns the address to connect to.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of bytes forwarded, in both directions together.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.shared.bytes.load(Ordering::Relaxed)
    }

    /// Cuts or restores the link; while it is cut, nothing is forwarded and connections stay open.
    pub fn set_cut(&self, cut: bool) {
        self.shared.cut.store(cut, Ordering::Relaxed);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.shared.closed.store(true, Ordering::Relaxed);
        // The listener checks for the end only after a connection, so one is made.
        drop(TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT));
    }
}

impl Shared {
    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        for client in listener.incoming().flatten() {
            if self.closed.load(Ordering::Relaxed) {
                return;
            }
            let shared = Arc::clone(self);
            // Without a thread the connection is closed, as by an overloaded host.
            let _ = std::thread::Builder::new()
                .name("link".to_owned())
                .spawn(move || shared.connect(&client));
        }
    }

    fn connect(self: &Arc<Self>, client: &TcpStream) {
        if !self.wait_uncut() {
            return;
        }
        let Ok(target) = TcpStream::connect_timeout(&self.target, CONNECT_TIMEOUT) else {
            return;
        };
        let (Ok(client_copy), Ok(target_copy)) = (client.try_clone(), target.try_clone()) else {
            return;
        };
        let reverse = Arc::clone(self);
        let thread = std::thread::Builder::new().name("link".to_owned());
        if thread
            .spawn(move || reverse.forward(&target_copy, &client_copy))
            .is_ok()
        {
            self.forward(client, &target);
        }
    }

    fn forward(&self, mut from: &TcpStream, mut to: &TcpStream) {
        let mut buffer = vec![0; BUFFER_BYTES];
        while let Ok(count) = from.read(&mut buffer)
            && count > 0
            && self.wait_uncut()
        {
            self.bytes.fetch_add(count as u64, Ordering::Relaxed);
            if to.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        // Errors mean that the other side has closed the connection already.
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    }

    /// Waits while the link is cut; returns false when it was closed.
    fn wait_uncut(&self) -> bool {
        while self.cut.load(Ordering::Relaxed) && !self.closed.load(Ordering::Relaxed) {
            std::thread::sleep(STATE_POLL);
        }
        !self.closed.load(Ordering::Relaxed)
    }
}
