//! Structured logs on standard output: a line for each decision and change of state, never waiting for a reader.

use std::io::LineWriter;
use std::sync::Mutex;
use std::time::Duration;

use derive_more::{Display, FromStr};
use slog::{Drain, Logger, o};
use slog_async::AsyncGuard;

/// Lines that may wait for the writer; more are dropped and counted by the library.
const RING: usize = 1_024;

/// Longest wait for the last lines to be written.
const FINISH: Duration = Duration::from_millis(300);

/// Ends the writer when it is dropped.
static GUARD: parking_lot::Mutex<Option<AsyncGuard>> = parking_lot::Mutex::new(None);

/// How log lines are written.
#[derive(Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq)]
pub enum Format {
    /// One JSON object a line.
    #[default]
    #[display("json")]
    Json,
    /// For a person at a terminal.
    #[display("terminal")]
    Terminal,
}

/// Starts the thread that writes logs and gives the root logger of a program.
pub fn start(format: Format, program: &'static str, node: &str) -> Logger {
    let (drain, guard) = match format {
        Format::Json => {
            // A line is written as a whole; in pieces, a process that ends would leave half a line, which no reader of JSON
            // takes, and lines of several processes in one file would be mixed up.
            let json = slog_json::Json::default(LineWriter::new(std::io::stdout()));
            slog_async::Async::new(Mutex::new(json).fuse())
                .chan_size(RING)
                .build_with_guard()
        }
        Format::Terminal => {
            let terminal = slog_term::FullFormat::new(slog_term::TermDecorator::new().stdout().build()).build();
            slog_async::Async::new(terminal.fuse())
                .chan_size(RING)
                .build_with_guard()
        }
    };
    *GUARD.lock() = Some(guard);
    // Lines of threads that outlive the writer are dropped.
    Logger::root(drain.ignore_res(), o!("program" => program, "node" => node.to_owned()))
}

/// Writes what still waits; a program calls it as the last thing it does.
///
/// Nobody may be reading any more. The process must end all the same, or a planned stop would last until it is killed.
pub fn finish() {
    let guard = GUARD.lock().take();
    let (done, finished) = std::sync::mpsc::channel();
    let work = move || {
        drop(guard);
        // The receiver may have stopped waiting.
        let _ = done.send(());
    };
    if std::thread::Builder::new().spawn(work).is_ok() {
        // Whichever way the wait ends, the process does.
        let _ = finished.recv_timeout(FINISH);
    }
}
