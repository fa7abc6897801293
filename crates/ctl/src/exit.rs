//! The output of a command and the exit codes; `Options` documents the codes for operators.

use std::process::ExitCode;

use crate::admin::AdminError;
use derive_more::{Display, Error};

const EXIT_FAILED: u8 = 1;
const EXIT_CONFLICT: u8 = 2;
const EXIT_NOT_FOUND: u8 = 3;
const EXIT_INCOMPLETE: u8 = 4;
const EXIT_DIFFERENT: u8 = 5;

/// The requested item doesn't exist.
#[derive(Clone, Debug, Display, Error)]
#[display("{item} is not there; {hint}")]
pub struct NotFound {
    /// Kind and name of the item.
    pub item: String,
    /// What the operator can do next.
    pub hint: &'static str,
}

/// What a command prints, and how it ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Output {
    /// Text for standard output, without the last line break.
    pub text: String,
    /// Lines for standard error, one for each process that didn't answer.
    pub notes: Vec<String>,
    /// How the command ends; sets the exit code.
    pub status: ExitStatus,
}

/// How a command ends that doesn't fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command did all that it was asked for.
    Complete,
    /// Some processes didn't answer, and the output lacks their part.
    Incomplete,
    /// The compared contracts differ.
    Different,
}

impl From<String> for Output {
    fn from(text: String) -> Self {
        Self {
            text,
            notes: Vec::new(),
            status: ExitStatus::Complete,
        }
    }
}

impl Output {
    /// Creates the output of a command that asks several processes, with a note for each that didn't answer.
    #[must_use]
    pub fn partial(text: String, notes: Vec<String>) -> Self {
        let status = if notes.is_empty() {
            ExitStatus::Complete
        } else {
            ExitStatus::Incomplete
        };
        Self { text, notes, status }
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        match status {
            ExitStatus::Complete => Self::SUCCESS,
            ExitStatus::Incomplete => Self::from(EXIT_INCOMPLETE),
            ExitStatus::Different => Self::from(EXIT_DIFFERENT),
        }
    }
}

/// Returns the exit code for an error.
#[must_use]
pub fn exit_code(error: &anyhow::Error) -> ExitCode {
    if error.is::<NotFound>() {
        return ExitCode::from(EXIT_NOT_FOUND);
    }
    match error.downcast_ref() {
        Some(AdminError::Conflict { .. }) => ExitCode::from(EXIT_CONFLICT),
        Some(AdminError::Refused { status: 404, .. }) => ExitCode::from(EXIT_NOT_FOUND),
        _ => ExitCode::from(EXIT_FAILED),
    }
}
