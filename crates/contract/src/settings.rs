//! Settings from flags and environment variables, validated together at program start.
//!
//! A program defines each of its settings as a constant [`Setting`]. A [`SettingsReader`] takes the flag first, then
//! the environment variable, then the default; it collects all errors and reports them at once.

use std::fmt::Write as _;
use std::str::FromStr;

use std::fmt::Display;

use crate::ValidationErrors;

/// Definition of a setting; the settings reference page is generated from these.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// Name of the flag, without the leading dashes.
    pub flag: &'static str,
    /// Name of the environment variable.
    pub env: &'static str,
    /// Value that applies when neither is given; `None` makes the setting required.
    pub default: Option<&'static str>,
    /// Description of the allowed values.
    pub allowed: &'static str,
    /// Purpose of the setting, in one sentence.
    pub help: &'static str,
    /// Whether the value is masked wherever it is shown.
    pub secret: bool,
}

/// Defines a setting that is not secret, as a constant.
#[macro_export]
macro_rules! setting {
    ($name:ident, $flag:literal, $env:literal, $default:expr, $allowed:literal, $help:literal) => {
        const $name: $crate::settings::Setting = $crate::settings::Setting {
            flag: $flag,
            env: $env,
            default: $default,
            allowed: $allowed,
            help: $help,
            secret: false,
        };
    };
}

/// Source of a setting's value.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
pub enum Origin {
    /// Set by a flag on the command line.
    #[display("flag")]
    Flag,
    /// Set by an environment variable.
    #[display("environment")]
    Environment,
    /// Default of the definition.
    #[display("default")]
    Default,
}

/// Reads the settings of a program and collects their values and errors.
#[derive(Debug, Default)]
pub struct SettingsReader {
    problems: ValidationErrors,
    rows: Vec<Row>,
}

#[derive(Debug)]
struct Row {
    setting: &'static Setting,
    value: String,
    origin: Origin,
}

impl SettingsReader {
    /// Reads and parses a setting; [`SettingsReader::finish`] reports the errors.
    ///
    /// Returns `None` only if an error was recorded.
    pub fn read<T: FromStr>(&mut self, setting: &'static Setting, flag: Option<&str>) -> Option<T> {
        self.read_from(setting, flag, |name| std::env::var(name).ok())
    }

    /// Reads and parses a setting, looking up environment variables with `env`.
    pub fn read_from<T: FromStr>(
        &mut self,
        setting: &'static Setting,
        flag: Option<&str>,
        env: impl Fn(&str) -> Option<String>,
    ) -> Option<T> {
        let Some((text, origin)) = lookup(setting, flag, env) else {
            self.problems.add(label(setting), &"(absent)", setting.allowed);
            return None;
        };
        let parsed = text.parse().ok();
        if parsed.is_none() {
            self.problems
                .add(label(setting), &masked(setting, &text), setting.allowed);
        }
        self.rows.push(Row {
            setting,
            value: text,
            origin,
        });
        parsed
    }

    /// Records an error for a value that parses but is not allowed.
    pub fn reject(&mut self, setting: &'static Setting, value: &dyn Display) {
        self.problems
            .add(label(setting), &masked(setting, &value.to_string()), setting.allowed);
    }

    /// Returns the value unchanged, and records an error unless `valid` holds for it.
    pub fn check<T: Display>(
        &mut self,
        setting: &'static Setting,
        value: Option<T>,
        valid: impl Fn(&T) -> bool,
    ) -> Option<T> {
        if let Some(value) = &value
            && !valid(value)
        {
            self.reject(setting, value);
        }
        value
    }

    /// Reports the errors of all settings that were read.
    ///
    /// # Errors
    /// Returns every recorded error.
    pub fn finish(&self) -> Result<(), ValidationErrors> {
        self.problems.clone().into_result()
    }

    /// Renders each setting with its value and source; secrets are masked.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = String::new();
        for row in &self.rows {
            let value = masked(row.setting, &row.value);
            // Writing to a string can't fail.
            let _ = writeln!(text, "--{}={value}  ({})", row.setting.flag, row.origin);
        }
        text
    }
}

/// Reads the settings of a program, and prints them if `print` is set.
///
/// Returns `None` if the program should end after printing or checking its settings.
///
/// # Errors
/// Returns every setting that is missing or invalid.
pub fn load<S>(
    print: bool,
    check: bool,
    read: impl FnOnce(&mut SettingsReader) -> Result<S, ValidationErrors>,
) -> Result<Option<S>, ValidationErrors> {
    let mut reader = SettingsReader::default();
    let settings = read(&mut reader);
    if print {
        print!("{}", reader.render());
    }
    let settings = settings?;
    Ok((!print && !check).then_some(settings))
}

/// A comma-separated list as the value of a setting.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct List<T>(pub Vec<T>);

impl<T: FromStr> FromStr for List<T> {
    type Err = T::Err;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
        parts.map(T::from_str).collect::<Result<_, _>>().map(Self)
    }
}

/// Renders the reference table of a program's settings in Markdown.
#[must_use]
pub fn reference_table(program: &str, settings: &[&Setting]) -> String {
    let mut text =
        format!("## {program}\n\n| flag | environment | default | allowed | meaning |\n|---|---|---|---|---|\n");
    for setting in settings {
        let default = setting
            .default
            .map_or_else(|| "required".to_owned(), |value| format!("`{value}`"));
        let (flag, env, allowed, help) = (setting.flag, setting.env, setting.allowed, setting.help);
        // Writing to a string can't fail.
        let _ = writeln!(text, "| `--{flag}` | `{env}` | {default} | {allowed} | {help} |");
    }
    text
}

fn lookup(setting: &Setting, flag: Option<&str>, env: impl Fn(&str) -> Option<String>) -> Option<(String, Origin)> {
    let flag = flag.map(|text| (text.to_owned(), Origin::Flag));
    let env = || env(setting.env).map(|text| (text, Origin::Environment));
    let default = || setting.default.map(|text| (text.to_owned(), Origin::Default));
    flag.or_else(env).or_else(default)
}

fn label(setting: &Setting) -> String {
    format!("--{} ({})", setting.flag, setting.env)
}

fn masked(setting: &Setting, value: &str) -> String {
    if setting.secret {
        "***".to_owned()
    } else {
        value.to_owned()
    }
}
