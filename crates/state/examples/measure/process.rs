//! CPU time and memory of a process.

use std::fs;

/// Kernel clock ticks per second, as on every common Linux.
const TICKS_PER_S: f64 = 100.0;

/// Returns the CPU time of a process in milliseconds.
pub(crate) fn cpu_ms(pid: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let rest = text.rsplit(')').next().unwrap();
    let fields: Vec<f64> = rest.split_whitespace().filter_map(|field| field.parse().ok()).collect();
    // After the process name come a state letter and then numbers, of which the 11th and 12th are user and system time.
    (fields[10] + fields[11]) * 1_000.0 / TICKS_PER_S
}

/// Returns the resident memory of a process in MiB, with pages of 4 KiB.
pub(crate) fn memory_mib(pid: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{pid}/statm")).unwrap();
    let pages: f64 = text.split_whitespace().nth(1).unwrap().parse().unwrap();
    pages * 4_096.0 / 1_048_576.0
}
