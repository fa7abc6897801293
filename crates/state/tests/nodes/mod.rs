//! A group of `gentian-state` processes on loopback.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
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

/// The processes of the group, which are killed on drop.
#[derive(Debug)]
pub struct Nodes {
    pub folder: TempDir,
    pub inner: Vec<SocketAddr>,
    pub admin: Vec<SocketAddr>,
    pub client: StateClient,
    program: PathBuf,
    children: Vec<Option<Child>>,
}

impl Nodes {
    /// Starts a group and waits until it has a leader.
    pub fn start(program: &Path, count: usize) -> Self {
        let inner = free_ports(count);
        let admin = free_ports(count);
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
            children,
        };
        (0..count).for_each(|n| nodes.run(n));
        nodes.leader();
        nodes
    }

    /// Starts one process.
    pub fn run(&mut self, n: usize) {
        let peers: Vec<String> = self.inner.iter().map(ToString::to_string).collect();
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.path().join(format!("log-{n}")));
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
            .stdout(Stdio::null())
            .stderr(Stdio::from(log.unwrap()))
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

/// Returns addresses on loopback with free ports.
pub fn free_ports(count: usize) -> Vec<SocketAddr> {
    let listeners: Vec<TcpListener> = (0..count).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    listeners
        .iter()
        .map(|listener| listener.local_addr().unwrap())
        .collect()
}
