//! Exit codes and error output of programs.

use std::fmt::Display;
use std::process::ExitCode;

/// Converts the result of a program into its exit code, and prints an error as one line on standard error.
///
/// Returning the error from `main` would print its debug form with a backtrace, in which an operator can't easily find
/// which setting is wrong.
pub fn ended<E: Display>(program: &str, result: Result<(), E>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{program}: {error:#}");
            ExitCode::FAILURE
        }
    }
}
