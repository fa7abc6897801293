//! Processes of a trial: each is stopped by its own pid, whatever happens to the trial.

use std::fs::File;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use derive_more::{Display, Error};
use rustix::process::{Pid, Signal, kill_process};

/// Longest wait for a process to start or to stop.
const PATIENCE: Duration = Duration::from_secs(20);
const STEP: Duration = Duration::from_millis(10);

/// A process that could not be started, or that does not do what it should.
#[derive(Debug, Display, Error)]
#[display("{step} {process}: {reason}")]
pub struct ProcessError {
    /// The step that failed.
    pub step: &'static str,
    /// The process.
    pub process: String,
    /// Why it failed.
    pub reason: String,
}

/// A running process.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    output: PathBuf,
}

impl Process {
    /// Starts a program that was built beside this one; its output and log go into a folder.
    ///
    /// # Errors
    /// Fails when the program can't be started.
    pub fn start(name: &str, program: &str, args: &[String], folder: &Path) -> Result<Self, ProcessError> {
        let failed = |reason: std::io::Error| error("start", name, &reason.to_string());
        let output = folder.join(format!("{name}.out"));
        let log = folder.join(format!("{name}.log"));
        let mut command = Command::new(beside(program).map_err(failed)?);
        command.args(args).stdin(Stdio::null());
        command.stdout(File::create(&output).map_err(failed)?);
        command.stderr(File::options().create(true).append(true).open(log).map_err(failed)?);
        let child = command.spawn().map_err(failed)?;
        Ok(Self {
            name: name.to_owned(),
            child,
            output,
        })
    }

    /// Waits until the process has printed where it listens.
    ///
    /// # Errors
    /// Fails when it ends before or takes too long.
    pub fn address(&mut self) -> Result<SocketAddr, ProcessError> {
        let begun = Instant::now();
        while begun.elapsed() < PATIENCE {
            let text = std::fs::read_to_string(&self.output).unwrap_or_default();
            let line = text.lines().find_map(|line| line.strip_prefix("listening on "));
            if let Some(address) = line.and_then(|address| address.parse().ok()) {
                return Ok(address);
            }
            if let Ok(Some(status)) = self.child.try_wait() {
                return Err(error("wait for", &self.name, &format!("it ended with {status}")));
            }
            std::thread::sleep(STEP);
        }
        Err(error("wait for", &self.name, "it printed no address"))
    }

    /// Gives the process id.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// Fails when the process has ended.
    pub fn signal(&self, signal: Signal) -> Result<(), ProcessError> {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.ok_or_else(|| error("signal", &self.name, "it has no process id"))?;
        kill_process(pid, signal).map_err(|reason| error("signal", &self.name, &reason.to_string()))
    }

    /// Asks the process to stop and waits for it; gives whether it ended with status 0.
    pub fn stop(&mut self) -> bool {
        if self.signal(Signal::TERM).is_err() {
            return false;
        }
        let begun = Instant::now();
        while begun.elapsed() < PATIENCE {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.success();
            }
            std::thread::sleep(STEP);
        }
        false
    }

    /// Ends the process without notice.
    pub fn kill(&mut self) {
        // One that has ended already needs neither.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Gives an address on loopback that nobody listens on at the moment.
///
/// # Errors
/// Fails when there is no port left.
pub fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind(("127.0.0.1", 0))?.local_addr()
}

/// Waits until somebody listens at an address.
///
/// # Errors
/// Fails when nobody does in time.
pub fn wait_listening(address: SocketAddr) -> Result<(), ProcessError> {
    let begun = Instant::now();
    while begun.elapsed() < PATIENCE {
        if TcpStream::connect_timeout(&address, STEP * 10).is_ok() {
            return Ok(());
        }
        std::thread::sleep(STEP);
    }
    Err(error("wait for", &address.to_string(), "nobody listens there"))
}

fn beside(program: &str) -> std::io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folder = own
        .parent()
        .ok_or_else(|| std::io::Error::other("the program has no folder"))?;
    // A test runs from the folder below the programs.
    let folder = if folder.ends_with("deps") {
        folder.parent().unwrap_or(folder)
    } else {
        folder
    };
    Ok(folder.join(program))
}

fn error(step: &'static str, process: &str, reason: &str) -> ProcessError {
    ProcessError {
        step,
        process: process.to_owned(),
        reason: reason.to_owned(),
    }
}
