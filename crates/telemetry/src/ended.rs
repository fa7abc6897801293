//! How a program tells that it failed.

use std::fmt::Display;
use std::process::ExitCode;

/// Turns the result of a program into its exit code; a failure is told in one line on standard error.
///
/// Returning the error from `main` would print its parts and a stack in the form for developers, in which an operator
/// does not find which setting is wrong.
pub fn ended<E: Display>(program: &str, result: Result<(), E>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{program}: {error:#}");
            ExitCode::FAILURE
        }
    }
}
