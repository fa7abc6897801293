//! Processes of a trial; each is killed when its value is dropped.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};

use anyhow::{Context, ensure};
use rustix::process::{Pid, Signal, kill_process};

/// Ports of [`free_address`]; below those that the operating system uses for outgoing connections.
const PORT_RANGE: std::ops::Range<u16> = 10_000..30_000;

/// A running process.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
}

/// Starts the programs of a trial and keeps their files in its folder.
#[derive(Clone, Debug)]
pub struct Launcher {
    programs: PathBuf,
    folder: PathBuf,
}

impl Launcher {
    /// Uses the programs next to the running one; logs and data go into `folder`.
    ///
    /// # Errors
    /// Fails when the running program's own file can't be found.
    pub fn new(folder: &Path) -> anyhow::Result<Self> {
        let executable = std::env::current_exe().context("find the running program")?;
        let programs = executable.parent().context("find the folder of the running program")?;
        Ok(Self {
            programs: programs.to_owned(),
            folder: folder.to_owned(),
        })
    }

    /// Returns the path of a file or folder of the trial.
    #[must_use]
    pub fn file(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    /// Starts a program under a name, which its log file gets.
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
        // Removed so that settings come from flags only and the environment can't change them.
        let variables = std::env::vars().filter(|(name, _)| name.starts_with("GENTIAN_"));
        // A stand-in prints its address, which is read from the pipe; the other programs log to standard output.
        let output = if program == "gentian-standin" {
            Stdio::piped()
        } else {
            Stdio::from(log.try_clone()?)
        };
        let mut command = Command::new(&path);
        for (variable, _) in variables {
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
    /// Fails when the process exits before, or when the address was read already.
    pub fn address(&mut self) -> anyhow::Result<SocketAddr> {
        let out = self.child.stdout.take().context("the address was read before")?;
        let mut line = String::new();
        BufReader::new(out).read_line(&mut line)?;
        let text = line.trim().strip_prefix("listening on ");
        let text = text.with_context(|| format!("{} did not start", self.name))?;
        text.parse().with_context(|| format!("address of {}", self.name))
    }

    /// Returns the process id.
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

    /// Returns the exit status; `None` while the process runs.
    ///
    /// # Errors
    /// Fails when the operating system can't return the status.
    pub fn exit_status(&mut self) -> anyhow::Result<Option<ExitStatus>> {
        self.child
            .try_wait()
            .with_context(|| format!("get exit status of {}", self.name))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Errors mean that the process has exited already, which is the wanted state.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns a loopback address whose port is free at the moment.
///
/// # Panics
/// Panics when the machine has no free port left.
#[must_use]
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let pid_part = (std::process::id() % 1_000) as u16;
    for _ in PORT_RANGE {
        let offset = NEXT
            .fetch_add(1, Ordering::Relaxed)
            .wrapping_add(pid_part.wrapping_mul(17));
        let port = PORT_RANGE.start + offset % (PORT_RANGE.end - PORT_RANGE.start);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no port is free on the loopback address")
}
