//! A log that nobody reads holds nobody up.

use std::io::Write;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use slog::info;
use telemetry::log::{self, Format};

/// Lines that are written; many times what a pipe and the ring hold.
const LINES: usize = 20_000;

/// The reader of a process's log hangs. Requests must go on: lines that find no room are dropped and counted, and no thread
/// that decides anything waits for the pipe. A stop ends the process too.
#[test]
fn reader_hangs() {
    if std::env::var("GENTIAN_TEST_CHILD").is_ok() {
        let logger = log::start(Format::Json, "test", "n");
        let begun = Instant::now();
        for number in 0..LINES {
            info!(logger, "decision"; "number" => number, "text" => "x".repeat(100));
        }
        // The parent reads this from the other pipe, which nobody blocks.
        writeln!(std::io::stderr(), "wrote in {} ms", begun.elapsed().as_millis()).unwrap();
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
    // Held and never read, so that the pipe is full after a few hundred lines.
    let unread = child.stdout.take();
    let begun = Instant::now();
    while child.try_wait().unwrap().is_none() {
        if begun.elapsed() > Duration::from_secs(30) {
            child.kill().unwrap();
            panic!("the process waits for the reader of its log");
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    drop(unread);
}
