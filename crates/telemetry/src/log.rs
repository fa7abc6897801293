//! Structured logs on standard output, one line per decision or state change; logging never blocks on the reader.

use std::io::LineWriter;
use std::sync::Mutex;
use std::time::Duration;

use derive_more::{Display, FromStr};
use slog::{Drain, Logger, o};
use slog_async::AsyncGuard;

/// Most lines queued for the writer thread; the library drops and counts further ones.
const QUEUE_LENGTH: usize = 1_024;

/// Longest wait for the queued lines to be written at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Flushes and ends the writer thread when it is dropped.
static GUARD: parking_lot::Mutex<Option<AsyncGuard>> = parking_lot::Mutex::new(None);

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq)]
pub enum Format {
    /// One JSON object per line.
    #[default]
    #[display("json")]
    Json,
    /// Readable text for a terminal.
    #[display("terminal")]
    Terminal,
}

/// Starts the writer thread and returns the root logger, which adds program and node name to each line.
pub fn start(format: Format, program: &'static str, node: &str) -> Logger {
    let (drain, guard) = match format {
        Format::Json => {
            // Each line is written in one piece. Otherwise a process that ends could leave a partial line, which is
            // invalid JSON, and lines of several processes in one file could be interleaved.
            let json = slog_json::Json::default(LineWriter::new(std::io::stdout()));
            slog_async::Async::new(Mutex::new(json).fuse())
                .chan_size(QUEUE_LENGTH)
                .build_with_guard()
        }
        Format::Terminal => {
            let terminal = slog_term::FullFormat::new(slog_term::TermDecorator::new().stdout().build()).build();
            slog_async::Async::new(terminal.fuse())
                .chan_size(QUEUE_LENGTH)
                .build_with_guard()
        }
    };
    *GUARD.lock() = Some(guard);
    // Lines of threads that outlive the writer thread are dropped.
    Logger::root(drain.ignore_res(), o!("program" => program, "node" => node.to_owned()))
}

/// Writes the queued lines and ends the writer thread; a program calls this last.
///
/// Waits only for a short time, because the reader of the log may be gone, and a planned stop would then last until the
/// process is killed.
pub fn finish() {
    let guard = GUARD.lock().take();
    let (done, finished) = std::sync::mpsc::channel();
    let flush = move || {
        drop(guard);
        // The receiver may have timed out.
        let _ = done.send(());
    };
    if std::thread::Builder::new().spawn(flush).is_ok() {
        // The process ends whether the lines were written in time or not.
        let _ = finished.recv_timeout(FLUSH_TIMEOUT);
    }
}
