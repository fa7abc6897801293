//! Listening sockets.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

use crate::intake::RECEIVE_BUFFER_BYTES;

/// Listens on an address, within a runtime. Its connections receive at most [`RECEIVE_BUFFER_BYTES`] that aren't read.
///
/// # Errors
/// Fails if the address can't be listened on.
pub fn listen(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit the size. A system that does not support it keeps its own bound.
    let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    socket.bind(address)?;
    socket.listen(backlog)
}
