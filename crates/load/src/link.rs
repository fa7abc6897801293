//! A link between two processes: it passes TCP bytes on, counts them, and can be cut.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

/// Bytes that are passed on at once.
const BUFFER: usize = 16 * 1024;
/// How often a cut is noticed.
const STEP: Duration = Duration::from_millis(100);
const CONNECT: Duration = Duration::from_secs(1);

/// A link that listens on loopback and leads to one address.
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
    /// Opens a link to an address.
    ///
    /// # Errors
    /// Fails when no port or thread is left.
    pub fn open(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            target,
            bytes: AtomicU64::new(0),
            cut: AtomicBool::new(false),
            closed: AtomicBool::new(false),
        });
        let served = Arc::clone(&shared);
        std::thread::Builder::new()
            .name("link".to_owned())
            .spawn(move || served.accept(&listener))?;
        Ok(Self { address, shared })
    }

    /// Gives the address to connect to.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Gives the bytes that have passed, both ways together.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.shared.bytes.load(Ordering::Relaxed)
    }

    /// Cuts the link or heals it: while it is cut, nothing passes and nobody is told.
    pub fn set_cut(&self, cut: bool) {
        self.shared.cut.store(cut, Ordering::Relaxed);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.shared.closed.store(true, Ordering::Relaxed);
        // The listener waits for one more connection before it notices.
        drop(TcpStream::connect_timeout(&self.address, CONNECT));
    }
}

impl Shared {
    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        for near in listener.incoming().flatten() {
            if self.closed.load(Ordering::Relaxed) {
                return;
            }
            let shared = Arc::clone(self);
            // A connection for which there is no thread is closed, as a full host would do.
            let _ = std::thread::Builder::new()
                .name("link".to_owned())
                .spawn(move || shared.join(&near));
        }
    }

    fn join(self: &Arc<Self>, near: &TcpStream) {
        if !self.wait_open() {
            return;
        }
        let Ok(far) = TcpStream::connect_timeout(&self.target, CONNECT) else {
            return;
        };
        let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else {
            return;
        };
        let back = Arc::clone(self);
        let thread = std::thread::Builder::new().name("link".to_owned());
        if thread.spawn(move || back.pass(&far_copy, &near_copy)).is_ok() {
            self.pass(near, &far);
        }
    }

    fn pass(&self, mut from: &TcpStream, mut to: &TcpStream) {
        let mut buffer = vec![0; BUFFER];
        while let Ok(count) = from.read(&mut buffer)
            && count > 0
            && self.wait_open()
        {
            self.bytes.fetch_add(count as u64, Ordering::Relaxed);
            if to.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        // The other side may have gone first.
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    }

    /// Waits while the link is cut; gives whether it is still there.
    fn wait_open(&self) -> bool {
        while self.cut.load(Ordering::Relaxed) && !self.closed.load(Ordering::Relaxed) {
            std::thread::sleep(STEP);
        }
        !self.closed.load(Ordering::Relaxed)
    }
}
