//! CPU time and memory of a process, as the kernel counts them.

use std::fs;

/// Clock ticks a second (`USER_HZ`), the unit in which Linux reports CPU time.
const TICKS_PER_S: f64 = 100.0;
const KB_IN_MB: f64 = 1024.0;
/// Indexes of user and system time among the fields after the command name in `/proc/PID/stat`.
const CPU_TIME_FIELDS: (usize, usize) = (11, 12);

/// CPU time and memory of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// CPU time since its start, in seconds.
    pub seconds: f64,
    /// Resident memory in MB.
    pub memory_mb: f64,
}

impl Usage {
    /// Reads the usage of a process.
    ///
    /// # Errors
    /// Fails when the process has exited or the format is not the expected one.
    pub fn of(pid: u32) -> std::io::Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<f64>().ok());
        let (Some(user), Some(system)) = (ticks(CPU_TIME_FIELDS.0), ticks(CPU_TIME_FIELDS.1)) else {
            return Err(unreadable(pid));
        };
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let memory = memory.and_then(|text| text.split_whitespace().next()?.parse::<f64>().ok());
        let memory_mb = memory.ok_or_else(|| unreadable(pid))? / KB_IN_MB;
        Ok(Self {
            seconds: (user + system) / TICKS_PER_S,
            memory_mb,
        })
    }
}

fn unreadable(pid: u32) -> std::io::Error {
    std::io::Error::other(format!("can't parse the usage of process {pid} in /proc"))
}
