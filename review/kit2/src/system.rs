//! The hosts of one system: processes with a loopback address, a settings file and a data folder each.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::cloud::Cloud;
use crate::http::{Reply, call};

/// Program of the state nodes, as the deploy file names it.
const STATE_PROGRAM: &str = "target/release/gentian-platform-state";
/// Program of the entry hosts, as the deploy file names it.
const ENTRY_PROGRAM: &str = "target/release/gentian-platform-entry";
/// Path of the operator's configuration resource.
const CONFIG_PATH: &str = "/gentianspring/config";
/// Time after which an operator moves on to another daemon.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(1);
/// Host whose port claims the subnet for this run.
const CLAIM: u8 = 250;
/// Host of the platform's API.
const CLOUD: u8 = 200;
/// Host of the entry.
const ENTRY: u8 = 101;

/// Figures of a deployment that reach a state node by its settings.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Number of core machines.
    pub core: u8,
    /// `cloud.ratePerS`.
    pub list_per_s: u32,
    /// `limits.memoryMb` of a core machine.
    pub memory_mb: u32,
    /// `bounds.ackMs`.
    pub ack_ms: u32,
    /// `bounds.recoveryS`.
    pub recovery_s: u64,
}

/// The site `mwangaza-iftar-grown`: 5 core machines, of which the loss of 2 is to be borne.
pub const MWANGAZA_GROWN: Deployment = Deployment {
    core: 5,
    list_per_s: 310,
    memory_mb: 256,
    ack_ms: 5_000,
    recovery_s: 15,
};

/// A system of state nodes.
#[derive(Debug)]
pub struct System {
    /// Figures of the deployment.
    pub deployment: Deployment,
    /// Folder of settings, data and logs.
    pub folder: PathBuf,
    /// The stand-in of the platform's API.
    pub cloud: Cloud,
    subnet: u8,
    control_port: u16,
    inner_port: u16,
    nodes: Vec<Option<Child>>,
    entry: Option<Child>,
    _claim: TcpListener,
}

impl System {
    /// Chooses addresses and a temporary folder; starts no node yet. `None` if there is no room for a system.
    #[must_use]
    pub fn new(deployment: Deployment) -> Option<Self> {
        if !PathBuf::from(STATE_PROGRAM).exists() {
            return None;
        }
        let first = (std::process::id() % 200) as u8;
        let free = (0..200_u8).find_map(|at| {
            let subnet = (first.wrapping_add(at)) % 200 + 1;
            let claim = TcpListener::bind(SocketAddr::from(([127, 99, subnet, CLAIM], 20_000))).ok()?;
            Some((subnet, claim))
        });
        let (subnet, claim) = free?;
        let port = |host: u8| {
            let listener = TcpListener::bind(SocketAddr::from(([127, 99, subnet, host], 0))).ok()?;
            Some(listener.local_addr().ok()?.port())
        };
        let (control_port, inner_port) = (port(1)?, port(2)?);
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        Some(Self {
            deployment,
            folder,
            cloud: Cloud::start(SocketAddr::from(([127, 99, subnet, CLOUD], 0))),
            subnet,
            control_port,
            inner_port,
            nodes: (0..=deployment.core).map(|_| None).collect(),
            entry: None,
            _claim: claim,
        })
    }

    /// Iterates over the numbers of the core machines.
    pub fn hosts(&self) -> impl Iterator<Item = u8> + use<> {
        1..=self.deployment.core
    }

    /// Returns the address of a state node for the operator.
    #[must_use]
    pub fn control(&self, host: u8) -> SocketAddr {
        SocketAddr::from(([127, 99, self.subnet, host], self.control_port))
    }

    fn data(&self, host: u8) -> PathBuf {
        self.folder.join(format!("data-{host}"))
    }

    /// Starts a state node; `first` is `firstStart` of its settings.
    ///
    /// # Panics
    /// Panics when the process can't be started.
    pub fn start(&mut self, host: u8, first: bool) {
        let seeds: Vec<String> = (1..=3).map(|seed| self.control(seed).to_string()).collect();
        let Deployment {
            list_per_s,
            memory_mb,
            ack_ms,
            ..
        } = self.deployment;
        let settings = format!(
            "GENTIAN_NODE=core-{host}\nGENTIAN_ZONE=zone-{host}\nGENTIAN_CONTROL={}\nGENTIAN_INNER={}\nGENTIAN_SEEDS={}\n\
             GENTIAN_FIRST={first}\nGENTIAN_DATA={}\nGENTIAN_CLOUD={}\nGENTIAN_GRACE_S=8.0\nGENTIAN_USAGE_WINDOW_S=5\n\
             GENTIAN_USAGE_DUE_S=10\nGENTIAN_LEASE_MS=3000\nGENTIAN_LIST_PER_S={list_per_s}\nGENTIAN_QUOTA_SLACK=140000\n\
             GENTIAN_QUOTA_WINDOW_S=8\nGENTIAN_ORDER_REPEAT_MS={ack_ms}\nGENTIAN_MEMORY_MB={memory_mb}\nGENTIAN_DESCRIPTORS=4096\n",
            self.control(host),
            SocketAddr::new(self.control(host).ip(), self.inner_port),
            seeds.join(","),
            self.data(host).display(),
            self.cloud.address,
        );
        fs::create_dir_all(self.data(host)).expect("create a data folder");
        let node = self.spawn(STATE_PROGRAM, &format!("core-{host}"), &settings);
        self.nodes[usize::from(host)] = Some(node);
    }

    /// Returns an address of this system for a replica; its port is chosen by the system.
    #[must_use]
    pub fn replica(&self, host: u8) -> SocketAddr {
        SocketAddr::from(([127, 99, self.subnet, host], 0))
    }

    /// Returns the address of the entry host for callers.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::from(([127, 99, self.subnet, ENTRY], 20_001))
    }

    /// Starts the entry host.
    ///
    /// # Panics
    /// Panics when the process can't be started.
    pub fn start_entry(&mut self) {
        let seeds: Vec<String> = (1..=3).map(|seed| self.control(seed).to_string()).collect();
        let ip = self.callers().ip();
        let settings = format!(
            "GENTIAN_NODE=front-1\nGENTIAN_ZONE=zone-1\nGENTIAN_CALLERS={}\nGENTIAN_READY={ip}:20002\nGENTIAN_METRICS={ip}:20003\n\
             GENTIAN_INNER={}\nGENTIAN_SEEDS={}\nGENTIAN_CLOUD={}\nGENTIAN_LIST_PER_S={}\nGENTIAN_GRACE_S=8.0\n\
             GENTIAN_REPEAT_RATIO=0.2\nGENTIAN_REPEAT_EXTRA=200\nGENTIAN_REPEAT_WINDOW_S=10\nGENTIAN_USAGE_WINDOW_S=5\n\
             GENTIAN_QUOTA_SLACK=140000\nGENTIAN_QUOTA_WINDOW_S=8\nGENTIAN_MEMORY_MB=160\nGENTIAN_DESCRIPTORS=4100\n",
            self.callers(),
            SocketAddr::new(ip, self.inner_port),
            seeds.join(","),
            self.cloud.address,
            self.deployment.list_per_s,
        );
        self.entry = Some(self.spawn(ENTRY_PROGRAM, "front-1", &settings));
    }

    /// Returns the log of a host.
    #[must_use]
    pub fn log(&self, name: &str) -> String {
        fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default()
    }

    fn spawn(&self, program: &str, name: &str, settings: &str) -> Child {
        let file = self.folder.join(format!("{name}.settings"));
        fs::write(&file, settings).expect("write a settings file");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .expect("open a log");
        let child = Command::new(program)
            .env("GENTIANSPRING_NODE_FILE", file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("share a log"))
            .stderr(log)
            .spawn();
        child.expect("start a program of the deploy file")
    }

    /// Kills a state node with SIGKILL; its disk stays.
    pub fn kill(&mut self, host: u8) {
        if let Some(mut node) = self.nodes[usize::from(host)].take() {
            // It may have ended by itself.
            let _ = node.kill();
            let _ = node.wait();
        }
    }

    /// Empties the disk of a state node that does not run.
    ///
    /// # Panics
    /// Panics when the folder can't be removed.
    pub fn wipe(&self, host: u8) {
        fs::remove_dir_all(self.data(host)).expect("remove a data folder");
    }

    /// Returns whether a node that was started has ended by itself.
    pub fn has_ended(&mut self, host: u8) -> bool {
        let node = self.nodes[usize::from(host)].as_mut();
        node.is_some_and(|node| !matches!(node.try_wait(), Ok(None)))
    }

    /// Returns the resident memory of a node in megabytes; 0 if it does not run.
    #[must_use]
    pub fn resident_mb(&self, host: u8) -> u64 {
        let Some(node) = &self.nodes[usize::from(host)] else {
            return 0;
        };
        let status = fs::read_to_string(format!("/proc/{}/status", node.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kb.unwrap_or_default() / 1_024
    }

    /// Sends a configuration to one node.
    #[must_use]
    pub fn put(&self, host: u8, config: &str, timeout: Duration) -> Option<Reply> {
        call(self.control(host), "PUT", CONFIG_PATH, config, timeout)
    }

    /// Reads the configuration from one node; `Ok` with its version, `Err` with the status, 0 for no response.
    ///
    /// # Errors
    /// Returns the status of a response other than 200, or 0 without one.
    pub fn read(&self, host: u8) -> Result<u64, u16> {
        let reply = call(self.control(host), "GET", CONFIG_PATH, "", OPERATOR_TIMEOUT).ok_or(0_u16)?;
        if reply.status == 200 {
            version_of(&reply.body).ok_or(reply.status)
        } else {
            Err(reply.status)
        }
    }

    /// Sends a configuration as an operator does, to one node after the other, until it is acknowledged. Returns the node
    /// that acknowledged it.
    #[must_use]
    pub fn publish(&self, hosts: &[u8], config: &str, max_wait: Duration) -> Option<u8> {
        let started = Instant::now();
        for host in hosts.iter().cycle() {
            if started.elapsed() > max_wait {
                return None;
            }
            if self
                .put(*host, config, OPERATOR_TIMEOUT)
                .is_some_and(|reply| reply.status == 200)
            {
                return Some(*host);
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        None
    }
}

impl Drop for System {
    /// Ends all processes, and removes the folder unless `KEEP` is set.
    fn drop(&mut self) {
        for host in self.hosts() {
            self.kill(host);
        }
        if let Some(mut entry) = self.entry.take() {
            // It may have ended by itself.
            let _ = entry.kill();
            let _ = entry.wait();
        }
        if std::env::var("KEEP").is_err() {
            // A folder that stays does not change the verdict.
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns the version in a configuration, which is its first field here.
fn version_of(body: &str) -> Option<u64> {
    let after = body.split_once("\"version\":")?.1;
    let digits: String = after.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// Returns a configuration like that of the page of the operator's API, with some routes beyond the first.
#[must_use]
pub fn config(version: u64, extra_routes: usize) -> String {
    config_with(version, extra_routes, "")
}

/// Returns such a configuration with further services, each with a comma before it.
#[must_use]
pub fn config_with(version: u64, extra_routes: usize, services: &str) -> String {
    let mut routes = vec![
        "{\"name\":\"r-m82thhk\",\"host\":\"ficu95.example\",\"pathPrefix\":\"/pufi791/\",\"kind\":\"unsafe\",\"timeoutMs\":2500,\"targetLatencyMs\":150,\"priority\":0,\"service\":\"wuno96b\",\"maxAttempts\":2,\"public\":false,\"sticky\":false,\"resumable\":false}".to_owned(),
    ];
    for at in 0..extra_routes {
        // Every version changes a time-out.
        let timeout = 2_500 + version % 7;
        routes.push(format!(
            "{{\"name\":\"r-{at:05}thhk\",\"host\":\"ficu95.example\",\"pathPrefix\":\"/lohu{at}/\",\"kind\":\"safe\",\"timeoutMs\":{timeout},\"targetLatencyMs\":150,\"priority\":0,\"service\":\"wuno96b\",\"maxAttempts\":2,\"public\":false,\"sticky\":false,\"resumable\":false}}"
        ));
    }
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"wuno96b\",\"healthPath\":\"/health\",\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false}}{services}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"i9n73hh2b9wu3fexd9dn\"]}}]}}",
        routes.join(",")
    )
}
