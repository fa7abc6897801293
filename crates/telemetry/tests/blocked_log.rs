//! Logging does not block when the reader of the log hangs.

use std::io::Write;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use slog::info;
use telemetry::log::{self, Format};

/// Number of lines written; many times the capacity of the pipe and of the writer's queue.
const LINES: usize = 20_000;

/// Guards against a hanging log reader that blocks the process: lines beyond the queue must be dropped and counted, no
/// thread that logs may wait for the pipe, and a stop must still end the process.
#[test]
fn reader_hangs() {
    if std::env::var("GENTIAN_TEST_CHILD").is_ok() {
        let logger = log::start(Format::Json, "test", "n");
        let start = Instant::now();
        for number in 0..LINES {
            info!(logger, "decision"; "number" => number, "text" => "x".repeat(100));
        }
        // Standard error is not blocked.
        writeln!(std::io::stderr(), "wrote in {} ms", start.elapsed().as_millis()).unwrap();
        log::finish();
        std::process::exit(0);
    }
    let mut child = Command::new(std::env::current_exe().unwrap())
        .args(["--exact", "reader_hangs", "--nocapture"])
        .env("GENTIAN_TEST_CHILD", "1")
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    // Held open and never read, so that the pipe is full after a few hundred lines.
    let unread = child.stdout.take();
    let start = Instant::now();
    while child.try_wait().unwrap().is_none() {
        if start.elapsed() > Duration::from_secs(30) {
            child.kill().unwrap();
            panic!("the process is blocked by the reader of its log");
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    drop(unread);
}
