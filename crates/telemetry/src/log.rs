//! Structured logs on standard error: counters first, lines only for changes of state.

use std::sync::Mutex;

use derive_more::{Display, FromStr};
use slog::{Drain, Logger, o};

/// Lines that may wait for the writer; more are dropped and counted by the library.
const RING: usize = 1_024;

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
    let drain = match format {
        Format::Json => {
            let json = slog_json::Json::default(std::io::stderr());
            slog_async::Async::new(Mutex::new(json).fuse()).chan_size(RING).build()
        }
        Format::Terminal => {
            let terminal = slog_term::FullFormat::new(slog_term::TermDecorator::new().stderr().build()).build();
            slog_async::Async::new(terminal.fuse()).chan_size(RING).build()
        }
    };
    Logger::root(drain.fuse(), o!("program" => program, "node" => node.to_owned()))
}
