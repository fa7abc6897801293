//! A stand-in of the platform's API: it serves the list of replicas and accepts the calls of the duty holder.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

/// The stand-in.
#[derive(Clone, Debug)]
pub struct Cloud {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Entries of the list of replicas, as JSON objects.
    pub instances: Arc<Mutex<Vec<String>>>,
    /// Bodies of the usage reports, in the order of their arrival.
    pub usage: Arc<Mutex<Vec<String>>>,
}

impl Cloud {
    /// Starts the stand-in at an address.
    ///
    /// # Panics
    /// Panics when the address can't be listened on.
    #[must_use]
    pub fn start(address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).expect("listen for calls to the platform");
        let address = listener.local_addr().expect("address of a listener");
        let cloud = Self {
            address,
            instances: Arc::default(),
            usage: Arc::default(),
        };
        let serving = cloud.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        cloud
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let mut start = String::new();
            if reader.read_line(&mut start).ok()? == 0 {
                return None;
            }
            let (mut length, mut is_chunked) = (0, false);
            loop {
                let mut line = String::new();
                reader.read_line(&mut line).ok()?;
                let line = line.trim().to_ascii_lowercase();
                if line.is_empty() {
                    break;
                }
                if let Some(value) = line.strip_prefix("content-length:") {
                    length = value.trim().parse().ok()?;
                }
                is_chunked |= line == "transfer-encoding: chunked";
            }
            let body = if is_chunked {
                read_chunks(&mut reader)?
            } else {
                read_bytes(&mut reader, length)?
            };
            if start.starts_with("POST /usage") {
                self.usage
                    .lock()
                    .ok()?
                    .push(String::from_utf8_lossy(&body).into_owned());
            }
            let answer = if start.starts_with("GET /instances") {
                let entries = self.instances.lock().ok()?.join(",");
                format!("{{\"instances\":[{entries}],\"next\":null}}")
            } else {
                String::new()
            };
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                answer.len()
            );
            writer.write_all(head.as_bytes()).ok()?;
            writer.write_all(answer.as_bytes()).ok()?;
        }
    }
}

fn read_bytes(reader: &mut impl Read, length: usize) -> Option<Vec<u8>> {
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

/// Reads a body in chunks, without trailer lines.
fn read_chunks(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let length = usize::from_str_radix(line.trim(), 16).ok()?;
        body.extend(read_bytes(reader, length)?);
        reader.read_line(&mut line).ok()?;
        if length == 0 {
            return Some(body);
        }
    }
}
