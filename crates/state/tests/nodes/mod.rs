//! A group of `gentian-state` processes on loopback.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use contract::NodeId;
use tempfile::TempDir;
use wire::client::{RpcRuntime, StateClient};
use wire::state::StateStatus;

/// Bearer key of the group.
pub const KEY: &str = "test-operator-key-0001";
/// Longest wait for any condition, so that a test cannot hang.
const WAIT_LIMIT: Duration = Duration::from_mins(1);
/// Duration from which a wait is printed.
const SLOW_WAIT: Duration = Duration::from_secs(5);

/// Ports of [`own_addresses`]; below those that the operating system uses for outgoing connections.
pub const PORTS: Range<u16> = 20_000..32_000;
/// Lines of each node's output that are printed when a test fails.
const PRINTED_LINES: usize = 200;

/// The processes of the group, which are killed on drop.
#[derive(Debug)]
pub struct Nodes {
    pub folder: TempDir,
    pub inner: Vec<SocketAddr>,
    pub admin: Vec<SocketAddr>,
    pub client: StateClient,
    program: PathBuf,
    /// Environment variables of the processes.
    variables: Vec<(&'static str, &'static str)>,
    children: Vec<Option<Child>>,
}

impl Nodes {
    /// Starts a group and waits until it has a leader.
    pub fn start(program: &Path, count: usize) -> Self {
        Self::start_with(program, count, &[])
    }

    /// Starts a group with some environment variables, like [`Self::start`].
    pub fn start_with(program: &Path, count: usize, variables: &[(&'static str, &'static str)]) -> Self {
        let inner = own_addresses(count);
        let admin = own_addresses(count);
        let calls = RpcRuntime::start(2, Duration::from_secs(2)).unwrap();
        let client = StateClient::new(&calls, &NodeId::from("tester"), &inner).unwrap();
        let children = (0..count).map(|_| None).collect();
        let folder = tempfile::tempdir().unwrap();
        let mut nodes = Self {
            folder,
            inner,
            admin,
            client,
            program: program.to_owned(),
            variables: variables.to_vec(),
            children,
        };
        (0..count).for_each(|n| nodes.run(n));
        nodes.leader();
        nodes
    }

    /// Starts one process.
    pub fn run(&mut self, n: usize) {
        let peers: Vec<String> = self.inner.iter().map(ToString::to_string).collect();
        let log = File::options().create(true).append(true).open(self.log(n)).unwrap();
        let child = Command::new(&self.program)
            .args(["--node", &format!("state-{n}"), "--peers", &peers.join(",")])
            .args([
                "--listen",
                &self.inner[n].to_string(),
                "--admin",
                &self.admin[n].to_string(),
            ])
            .arg("--data")
            .arg(self.data(n))
            .env("GENTIAN_OPERATOR_KEY", KEY)
            .envs(self.variables.iter().copied())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        self.children[n] = Some(child);
    }

    /// Kills a process with SIGKILL.
    pub fn kill(&mut self, n: usize) {
        if let Some(mut child) = self.children[n].take() {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    /// Removes the data folder of a killed process.
    pub fn wipe(&self, n: usize) {
        fs::remove_dir_all(self.data(n)).unwrap();
    }

    /// Returns the data folder of a node.
    pub fn data(&self, n: usize) -> PathBuf {
        self.folder.path().join(format!("data-{n}"))
    }

    /// Returns the file with the output of a node, of all its processes one after the other.
    fn log(&self, n: usize) -> PathBuf {
        self.folder.path().join(format!("log-{n}"))
    }

    /// Prints the last lines of each node's output, and whether its process had ended.
    fn print_output(&mut self) {
        for n in 0..self.children.len() {
            let ended = self.children[n].as_mut().map(Child::try_wait);
            println!("state-{n} at {}, admin {}: {ended:?}", self.inner[n], self.admin[n]);
            let output = fs::read(self.log(n)).unwrap_or_default();
            let output = String::from_utf8_lossy(&output);
            let lines: Vec<&str> = output.lines().collect();
            for line in &lines[lines.len().saturating_sub(PRINTED_LINES)..] {
                println!("state-{n}: {line}");
            }
        }
    }

    /// Returns the process id of a node; `None` if it does not run.
    pub fn pid(&self, n: usize) -> Option<u32> {
        self.children[n].as_ref().map(Child::id)
    }

    /// Returns the status of a node; `None` if it does not run or answer.
    pub fn status(&self, n: usize) -> Option<StateStatus> {
        self.children[n].as_ref()?;
        self.client.status(n).ok()
    }

    /// Waits for a leader and returns its position.
    pub fn leader(&self) -> usize {
        wait("a leader", || {
            let leads = |n: &usize| self.status(*n).is_some_and(|status| status.role == "leader");
            (0..self.inner.len()).find(leads)
        })
    }

    /// Waits until a node has all entries that are committed now.
    pub fn caught_up(&self, n: usize) {
        let goal = wait("the newest index", || self.status(self.leader())).committed;
        wait("a node to catch up", || {
            self.status(n).filter(|status| status.committed >= goal)
        });
    }
}

impl Drop for Nodes {
    fn drop(&mut self) {
        // The folder with the output is removed with the group.
        if std::thread::panicking() {
            self.print_output();
        }
        (0..self.children.len()).for_each(|n| self.kill(n));
    }
}

/// Polls until there is a result; `what` names it in messages.
pub fn wait<T>(what: &str, mut ask: impl FnMut() -> Option<T>) -> T {
    let begin = Instant::now();
    loop {
        if let Some(answer) = ask() {
            if begin.elapsed() > SLOW_WAIT {
                println!("{what} took {:?}", begin.elapsed());
            }
            return answer;
        }
        assert!(begin.elapsed() < WAIT_LIMIT, "waited too long for {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Returns loopback addresses that no other process listens on or connects from.
///
/// The ports are below the ephemeral range, and the host part is the id of this process: a port that is probed and
/// released again can be taken before the node that it is meant for has started.
///
/// # Panics
/// Panics when the process has used all ports.
pub fn own_addresses(count: usize) -> Vec<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let [high, b, c, d] = std::process::id().to_be_bytes();
    // Process ids have at most 22 bits.
    assert!(high == 0 && b < 64, "the process id has more than 22 bits");
    let next = || {
        let offset = NEXT.fetch_add(1, Ordering::Relaxed);
        assert!(offset < PORTS.end - PORTS.start, "all ports of the process are used");
        SocketAddr::from(([127, 128 + b, c, d], PORTS.start + offset))
    };
    (0..count).map(|_| next()).collect()
}
