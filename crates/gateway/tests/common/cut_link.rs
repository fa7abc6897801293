//! A link of one host to one upstream that can be cut.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use load::trial::process::free_address;
use parking_lot::Mutex;

/// Interval at which a link notices a change.
const POLL: Duration = Duration::from_millis(5);
/// Connections that wait to be accepted before further ones hang, as the standard library sets it, and some more.
const BACKLOG: usize = 256;

/// State of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Cut {
    /// Connections work.
    #[default]
    None,
    /// Open connections are silent, and new ones are never accepted.
    Hang,
    /// Open connections are reset, and new ones are refused.
    Reset,
    /// Open connections live on, and new ones are refused.
    RefuseNew,
    /// Connections are accepted and closed.
    Close,
}

/// A link of one host to one upstream.
#[derive(Clone)]
pub struct CutLink {
    /// Address at which the host reaches the upstream.
    pub address: SocketAddr,
    target: SocketAddr,
    cut: Arc<Mutex<Cut>>,
}

impl CutLink {
    /// Starts a link to an upstream.
    pub fn start(target: SocketAddr) -> Self {
        let link = Self {
            address: free_address(),
            target,
            cut: Arc::default(),
        };
        let listener = TcpListener::bind(link.address).unwrap();
        let worker = link.clone();
        thread::spawn(move || worker.listen(listener));
        link
    }

    /// Cuts the link, or joins it again.
    pub fn set(&self, cut: Cut) {
        *self.cut.lock() = cut;
        // The listener follows within a poll.
        thread::sleep(POLL * 4);
    }

    fn cut(&self) -> Cut {
        *self.cut.lock()
    }

    fn listen(&self, listener: TcpListener) {
        let mut listener = Some(listener);
        let mut waiting: Vec<TcpStream> = Vec::new();
        loop {
            match (self.cut(), &listener) {
                (Cut::None, Some(open)) => {
                    open.set_nonblocking(true).unwrap();
                    if waiting.is_empty() {
                        if let Ok((stream, _)) = open.accept() {
                            self.forward(stream);
                            continue;
                        }
                    } else {
                        // Drops the connections that have filled the queue.
                        waiting.clear();
                        while open.accept().is_ok() {}
                    }
                }
                (Cut::None | Cut::Close, None) => listener = TcpListener::bind(self.address).ok(),
                (Cut::Close, Some(open)) => {
                    open.set_nonblocking(true).unwrap();
                    while open.accept().is_ok() {}
                }
                (Cut::Hang, Some(_)) if waiting.is_empty() => waiting = self.fill_queue(),
                (Cut::Hang, _) => {}
                (Cut::Reset | Cut::RefuseNew, _) => listener = None,
            }
            thread::sleep(POLL);
        }
    }

    /// Fills the queue of the listener, so that further connections hang.
    fn fill_queue(&self) -> Vec<TcpStream> {
        let open = || TcpStream::connect_timeout(&self.address, POLL * 4).ok();
        std::iter::from_fn(open).take(BACKLOG * 32).collect()
    }

    fn forward(&self, caller: TcpStream) {
        caller.set_nonblocking(false).unwrap();
        let Ok(upstream) = TcpStream::connect(self.target) else {
            return;
        };
        let copies = (caller.try_clone().unwrap(), upstream.try_clone().unwrap());
        let (up, down) = (self.clone(), self.clone());
        thread::spawn(move || up.copy(&caller, &upstream));
        thread::spawn(move || down.copy(&copies.1, &copies.0));
    }

    fn copy(&self, mut from: &TcpStream, mut to: &TcpStream) {
        from.set_read_timeout(Some(POLL)).unwrap();
        let mut buffer = [0; 4_096];
        loop {
            match self.cut() {
                Cut::Hang => {
                    thread::sleep(POLL);
                    continue;
                }
                Cut::Reset | Cut::Close => break,
                Cut::None | Cut::RefuseNew => {}
            }
            match from.read(&mut buffer) {
                Ok(0) => break,
                Ok(count) => {
                    if to.write_all(&buffer[..count]).is_err() {
                        break;
                    }
                }
                Err(error)
                    if matches!(
                        error.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    ) => {}
                Err(_) => break,
            }
        }
        // Either side may be closed already.
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    }
}
