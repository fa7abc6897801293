//! A TCP relay that counts the bytes passing through it.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

/// Starts a relay and returns its address.
pub(crate) fn start(to: SocketAddr, count: &Arc<AtomicU64>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let count = Arc::clone(count);
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(to) else {
                continue;
            };
            forward(near.try_clone().unwrap(), far.try_clone().unwrap(), Arc::clone(&count));
            forward(far, near, Arc::clone(&count));
        }
    });
    address
}

fn forward(mut from: TcpStream, mut to: TcpStream, count: Arc<AtomicU64>) {
    from.set_nodelay(true).unwrap();
    thread::spawn(move || {
        let mut bytes = vec![0; 65_536];
        while let Ok(length) = from.read(&mut bytes)
            && length > 0
            && to.write_all(&bytes[..length]).is_ok()
        {
            count.fetch_add(length as u64, Ordering::Relaxed);
        }
        // The peer may have closed the connection already.
        let _ = to.shutdown(Shutdown::Both);
    });
}
