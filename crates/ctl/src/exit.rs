//! What a command prints and how it ends.

use std::process::ExitCode;

use crate::admin::AdminError;
use derive_more::{Display, Error};

const FAILED: u8 = 1;
const CONFLICT: u8 = 2;
const ABSENT: u8 = 3;
const INCOMPLETE: u8 = 4;
const DIFFERENT: u8 = 5;

/// Something that was asked for and is not there.
#[derive(Clone, Debug, Display, Error)]
#[display("{what} is not there; {next}")]
pub struct Absent {
    /// What was asked for.
    pub what: String,
    /// What to do next.
    pub next: &'static str,
}

/// What a command prints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Output {
    /// For standard output.
    pub text: String,
    /// For standard error.
    pub notes: Vec<String>,
    /// How it ends.
    pub ending: Ending,
}

/// How a command ends that did not fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// As asked.
    Done,
    /// Some processes did not answer.
    Incomplete,
    /// The contracts differ.
    Different,
}

impl From<String> for Output {
    fn from(text: String) -> Self {
        Self {
            text,
            notes: Vec::new(),
            ending: Ending::Done,
        }
    }
}

impl Output {
    /// Makes the output of a command that asked several processes, with a note for each that did not answer.
    #[must_use]
    pub fn partial(text: String, notes: Vec<String>) -> Self {
        let ending = if notes.is_empty() {
            Ending::Done
        } else {
            Ending::Incomplete
        };
        Self { text, notes, ending }
    }
}

impl From<Ending> for ExitCode {
    fn from(ending: Ending) -> Self {
        match ending {
            Ending::Done => Self::SUCCESS,
            Ending::Incomplete => Self::from(INCOMPLETE),
            Ending::Different => Self::from(DIFFERENT),
        }
    }
}

/// Gives the exit code of a failure.
#[must_use]
pub fn code(error: &anyhow::Error) -> ExitCode {
    if error.is::<Absent>() {
        return ExitCode::from(ABSENT);
    }
    match error.downcast_ref() {
        Some(AdminError::Conflict { .. }) => ExitCode::from(CONFLICT),
        Some(AdminError::Refused { status: 404, .. }) => ExitCode::from(ABSENT),
        _ => ExitCode::from(FAILED),
    }
}
