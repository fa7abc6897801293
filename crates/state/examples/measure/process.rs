//! Processor time and memory of a process.

use std::fs;

/// Clock ticks of the kernel in a second, as on every common Linux.
const TICKS: f64 = 100.0;

/// Gives the processor time of a process in milliseconds.
pub(crate) fn cpu_ms(pid: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let rest = text.rsplit(')').next().unwrap();
    let fields: Vec<f64> = rest.split_whitespace().filter_map(|field| field.parse().ok()).collect();
    // After the name come one letter and then numbers; user and system time are the 11th and 12th of these.
    (fields[10] + fields[11]) * 1_000.0 / TICKS
}

/// Gives the resident memory of a process in MiB.
pub(crate) fn memory_mib(pid: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{pid}/statm")).unwrap();
    let pages: f64 = text.split_whitespace().nth(1).unwrap().parse().unwrap();
    pages * 4_096.0 / 1_048_576.0
}
