//! A stand-in of a replica of a plain service. It runs each request that names it, once, and answers as the pages say.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Duration of a request.
const WORK: Duration = Duration::from_millis(15);
/// Requests that run at once, as its answers and the list name them.
pub const SLOTS: u32 = 6;

/// Number of runs by request id.
pub type Runs = Arc<Mutex<HashMap<String, u32>>>;

/// A running replica.
#[derive(Clone, Debug)]
pub struct Replica {
    /// Id, which requests must name in `Expect-Instance`.
    pub id: String,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Runs of all replicas.
    runs: Runs,
    /// Value of its `Keep-Alive` header.
    keep_alive: String,
}

impl Replica {
    /// Starts a replica at an address.
    ///
    /// # Panics
    /// Panics when the address can't be listened on.
    #[must_use]
    pub fn start(id: &str, address: SocketAddr, runs: &Runs, keep_alive: &str) -> Self {
        let listener = TcpListener::bind(address).expect("listen for requests to a replica");
        let replica = Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("address of a listener"),
            runs: Arc::clone(runs),
            keep_alive: keep_alive.to_owned(),
        };
        let serving = replica.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        replica
    }

    /// Returns the entry of the list of replicas.
    #[must_use]
    pub fn entry(&self, service: &str, zone: &str) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"ready\",\"coldRemainingMs\":0,\"id\":\"{}\",\"born\":1780000000000}}",
            self.address, self.id
        )
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut writer = stream.try_clone().ok()?;
        // Answers leave at once.
        let _ = writer.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        loop {
            let mut start = String::new();
            if reader.read_line(&mut start).ok()? == 0 {
                return None;
            }
            let mut headers = HashMap::new();
            loop {
                let mut line = String::new();
                reader.read_line(&mut line).ok()?;
                let Some((name, value)) = line.trim().split_once(':') else {
                    break;
                };
                headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
            let length = headers.get("content-length").and_then(|text| text.parse().ok());
            let mut body = vec![0; length.unwrap_or(0)];
            reader.read_exact(&mut body).ok()?;
            let answer = self.answer(&start, &headers);
            writer.write_all(answer.as_bytes()).ok()?;
        }
    }

    fn answer(&self, start: &str, headers: &HashMap<String, String>) -> String {
        let keep_alive = &self.keep_alive;
        let common = format!("Server-Load: 1,0,{SLOTS}\r\nKeep-Alive: {keep_alive}\r\n");
        if start.starts_with("GET /health ") {
            return format!(
                "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\n{common}Content-Length: 0\r\n\r\n",
                self.id
            );
        }
        let id = headers.get("request-id").cloned().unwrap_or_default();
        if headers
            .get("expect-instance")
            .is_some_and(|expected| *expected != self.id)
        {
            return format!(
                "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n{common}Content-Length: 0\r\n\r\n"
            );
        }
        if let Ok(mut runs) = self.runs.lock() {
            *runs.entry(id.clone()).or_default() += 1;
        }
        thread::sleep(WORK);
        let body = format!("done {id}\n");
        format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: 3e1b.07.{id}\r\n{common}Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }
}
