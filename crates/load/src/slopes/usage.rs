//! What the kernel counts for a process.

use std::fs;

/// Clock ticks a second in which Linux reports processor time to every program.
const TICKS: f64 = 100.0;
const KB_IN_MB: f64 = 1024.0;
/// Places of user and system time behind the command's name in `/proc/PID/stat`.
const TIMES: (usize, usize) = (11, 12);

/// Processor time and memory of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time since its start, in seconds.
    pub seconds: f64,
    /// Resident memory in MB.
    pub memory_mb: f64,
}

impl Usage {
    /// Reads the counts of a process.
    ///
    /// # Errors
    /// Fails when the process has ended or the kernel reports in another form.
    pub fn of(pid: u32) -> std::io::Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<f64>().ok());
        let (Some(user), Some(system)) = (ticks(TIMES.0), ticks(TIMES.1)) else {
            return Err(unreadable(pid));
        };
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let memory = memory.and_then(|text| text.split_whitespace().next()?.parse::<f64>().ok());
        let memory_mb = memory.ok_or_else(|| unreadable(pid))? / KB_IN_MB;
        Ok(Self {
            seconds: (user + system) / TICKS,
            memory_mb,
        })
    }
}

fn unreadable(pid: u32) -> std::io::Error {
    std::io::Error::other(format!("counts of process {pid} can't be read"))
}
