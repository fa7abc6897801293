//! Errors of validation: every wrong field is named together with its value and what is allowed.

use std::fmt::Display;

use derive_more::Error;

/// One field that failed validation.
#[derive(Clone, Debug, derive_more::Display, Error, PartialEq, Eq)]
#[display("{field}: {value} is not allowed, expected {allowed}")]
pub struct FieldError {
    /// Path of the field, such as `classes[2].targets.first_token_ms`.
    pub field: String,
    /// The value as it was given; secrets are masked before they come here.
    pub value: String,
    /// What would have been accepted.
    pub allowed: String,
}

/// All fields that failed validation, reported together.
#[derive(Clone, Debug, Default, derive_more::Display, Error, PartialEq, Eq)]
#[display("{}", self.listed())]
pub struct Problems {
    /// The failed fields in the order in which they were found.
    #[error(not(source))]
    pub fields: Vec<FieldError>,
}

impl Problems {
    /// Records a field that failed.
    pub fn add(&mut self, field: impl Into<String>, value: &dyn Display, allowed: impl Into<String>) {
        self.fields.push(FieldError {
            field: field.into(),
            value: value.to_string(),
            allowed: allowed.into(),
        });
    }

    /// Records a failure unless `good` holds.
    pub fn check(&mut self, good: bool, field: &str, value: &dyn Display, allowed: &str) {
        if !good {
            self.add(field, value, allowed);
        }
    }

    /// Turns the collected failures into a result.
    ///
    /// # Errors
    /// Returns itself when at least one field failed.
    pub fn into_result(self) -> Result<(), Self> {
        if self.fields.is_empty() { Ok(()) } else { Err(self) }
    }

    fn listed(&self) -> String {
        let lines: Vec<String> = self.fields.iter().map(ToString::to_string).collect();
        lines.join("; ")
    }
}
