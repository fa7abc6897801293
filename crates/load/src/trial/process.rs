//! Processes of a trial; none outlives the value that stands for it.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};

use anyhow::{Context, ensure};
use rustix::process::{Pid, Signal, kill_process};

/// Ports that are given out; below those that the operating system gives to outgoing connections.
const PORTS: std::ops::Range<u16> = 10_000..30_000;

/// A running process.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
}

/// Where programs are found and their logs go.
#[derive(Clone, Debug)]
pub struct Place {
    programs: PathBuf,
    folder: PathBuf,
}

impl Place {
    /// Finds the programs beside the running one; logs and data go into a folder.
    ///
    /// # Errors
    /// Fails when the running program's own file can't be found.
    pub fn new(folder: &Path) -> anyhow::Result<Self> {
        let own = std::env::current_exe().context("find the running program")?;
        let programs = own.parent().context("find the folder of the running program")?;
        Ok(Self {
            programs: programs.to_owned(),
            folder: folder.to_owned(),
        })
    }

    /// Gives a file or folder of the trial.
    #[must_use]
    pub fn file(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    /// Starts a program.
    ///
    /// # Errors
    /// Fails when the program is not built or the operating system refuses.
    pub fn start(&self, name: &str, program: &str, args: &[String]) -> anyhow::Result<Process> {
        let path = self.programs.join(program);
        ensure!(
            path.exists(),
            "{} is not built; run cargo build --workspace first",
            path.display()
        );
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.file(&format!("{name}.log")))?;
        // Settings come as flags only, so that the environment of the trial can't change them.
        let environment = std::env::vars().filter(|(name, _)| name.starts_with("GENTIAN_"));
        // A stand-in prints its address for the trial to read; the others log to their output.
        let output = if program == "gentian-standin" {
            Stdio::piped()
        } else {
            Stdio::from(log.try_clone()?)
        };
        let mut command = Command::new(&path);
        for (variable, _) in environment {
            command.env_remove(variable);
        }
        let child = command
            .args(args)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(log)
            .spawn()
            .with_context(|| format!("start {name}"))?;
        Ok(Process {
            name: name.to_owned(),
            child,
        })
    }
}

impl Process {
    /// Reads the address that a stand-in prints once it listens.
    ///
    /// # Errors
    /// Fails when the process ends before.
    pub fn address(&mut self) -> anyhow::Result<SocketAddr> {
        let out = self.child.stdout.take().context("the address was read before")?;
        let mut line = String::new();
        BufReader::new(out).read_line(&mut line)?;
        let text = line.trim().strip_prefix("listening on ");
        let text = text.with_context(|| format!("{} did not start", self.name))?;
        text.parse().with_context(|| format!("address of {}", self.name))
    }

    /// Gives the process id.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// Fails when the process is gone.
    pub fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        let pid = i32::try_from(self.child.id())?;
        let pid = Pid::from_raw(pid).context("a process id above 0")?;
        kill_process(pid, signal).with_context(|| format!("signal {}", self.name))
    }

    /// Gives how the process ended, if it has.
    ///
    /// # Errors
    /// Fails when the operating system can't tell.
    pub fn ended(&mut self) -> anyhow::Result<Option<ExitStatus>> {
        self.child.try_wait().with_context(|| format!("ask for {}", self.name))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A process that has ended already can't be killed; that is what is wanted.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Gives a loopback address that nobody listens on at the moment.
///
/// # Panics
/// Panics when the machine has no free port left.
#[must_use]
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let own = (std::process::id() % 1_000) as u16;
    for _ in PORTS {
        let count = NEXT.fetch_add(1, Ordering::Relaxed).wrapping_add(own.wrapping_mul(17));
        let port = PORTS.start + count % (PORTS.end - PORTS.start);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no port is free on the loopback address")
}
