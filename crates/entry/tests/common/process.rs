//! Entry hosts and state nodes in their own processes.

use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Once;
use std::time::{Duration, Instant};

use super::client::call;
use super::{TIMEOUT, free_address};

/// Builds the state program once, because testing this package alone does not build it.
static BUILT: Once = Once::new();

/// A process that is killed when dropped.
pub struct Process(Child);

impl Process {
    /// Starts a state group with a single node.
    pub fn state(address: SocketAddr, folder: &Path) -> Self {
        BUILT.call_once(|| {
            let mut build = Command::new(env!("CARGO"));
            build.args(["build", "--locked", "--quiet", "--package", "state", "--bins"]);
            if !cfg!(debug_assertions) {
                build.arg("--release");
            }
            assert!(build.status().unwrap().success());
        });
        let (text, data) = (address.to_string(), folder.to_str().unwrap());
        let arguments = ["--node", "state-1", "--peers", &text, "--listen", &text, "--data", data];
        Self::start("gentian-state", &arguments)
    }

    /// Starts an entry host and waits until it is ready; returns its addresses for callers and for health checks.
    pub fn entry(name: &str, state: SocketAddr, more: &[&str]) -> (Self, SocketAddr, SocketAddr) {
        Self::entry_with(name, state, more, &[])
    }

    /// Starts an entry host with some environment variables, like [`Self::entry`].
    pub fn entry_with(
        name: &str,
        state: SocketAddr,
        more: &[&str],
        variables: &[(&str, &str)],
    ) -> (Self, SocketAddr, SocketAddr) {
        let (listen, ops) = (free_address(), free_address());
        let (state, listens, opens) = (state.to_string(), listen.to_string(), ops.to_string());
        let arguments = ["--node", name, "--data-center", "dc-1", "--state", &state];
        let addresses = ["--listen", &listens, "--ops", &opens];
        let arguments = [&arguments[..], &addresses[..], more].concat();
        let process = Self::start_with("gentian-entry", &arguments, variables);
        until("an entry host", || {
            TcpStream::connect(ops).is_ok() && call(ops, "GET", "/readyz", &[], &[]).status == 200
        });
        (process, listen, ops)
    }

    pub fn kill(&mut self) {
        // The process may have been killed already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.0.id()
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.0.try_wait(), Ok(None))
    }

    fn start(name: &str, arguments: &[&str]) -> Self {
        Self::start_with(name, arguments, &[])
    }

    fn start_with(name: &str, arguments: &[&str], variables: &[(&str, &str)]) -> Self {
        let program = Path::new(env!("CARGO_BIN_EXE_gentian-entry")).with_file_name(name);
        let mut command = Command::new(program);
        command
            .args(arguments)
            .env("GENTIAN_OPERATOR_KEY", "test-operator-key-0001")
            .envs(variables.iter().copied());
        Self(command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until a condition holds, and fails after [`TIMEOUT`].
pub fn until(what: &str, done: impl Fn() -> bool) {
    let begin = Instant::now();
    while !done() {
        assert!(begin.elapsed() < TIMEOUT, "waited too long for {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}
