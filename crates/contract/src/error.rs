//! Validation errors: every invalid field is reported with its value and the allowed values.

use std::fmt::Display;

use derive_more::Error;

/// One field that failed validation.
#[derive(Clone, Debug, derive_more::Display, Error, PartialEq, Eq)]
#[display("{field}: {value} is not allowed, expected {allowed}")]
pub struct FieldError {
    /// Path of the field, such as `classes[2].targets.first_token_ms`.
    pub field: String,
    /// The rejected value; callers mask secrets.
    pub value: String,
    /// Description of the allowed values.
    pub allowed: String,
}

/// All fields that failed validation, reported as one error.
#[derive(Clone, Debug, Default, derive_more::Display, Error, PartialEq, Eq)]
#[display("{}", self.joined())]
pub struct ValidationErrors {
    /// The invalid fields in the order in which they were checked.
    #[error(not(source))]
    pub fields: Vec<FieldError>,
}

impl ValidationErrors {
    /// Adds an invalid field.
    pub fn add(&mut self, field: impl Into<String>, value: &dyn Display, allowed: impl Into<String>) {
        self.fields.push(FieldError {
            field: field.into(),
            value: value.to_string(),
            allowed: allowed.into(),
        });
    }

    /// Adds a field as invalid unless `valid` is true.
    pub fn check(&mut self, valid: bool, field: &str, value: &dyn Display, allowed: &str) {
        if !valid {
            self.add(field, value, allowed);
        }
    }

    /// Converts the collected errors into a result.
    ///
    /// # Errors
    /// Returns `self` when at least one field is invalid.
    pub fn into_result(self) -> Result<(), Self> {
        if self.fields.is_empty() { Ok(()) } else { Err(self) }
    }

    fn joined(&self) -> String {
        let lines: Vec<String> = self.fields.iter().map(ToString::to_string).collect();
        lines.join("; ")
    }
}
