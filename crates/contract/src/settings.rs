//! Settings from flags and environment variables, checked together at start.
//!
//! A program defines each of its settings as a constant [`Setting`]. A [`Sheet`] reads flag first, then environment
//! variable, then the default, collects every problem and reports them all at once.

use std::fmt::Write as _;
use std::str::FromStr;

use std::fmt::Display;

use crate::Problems;

/// Definition of one setting; the reference page is made from these.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// Flag without the dashes.
    pub flag: &'static str,
    /// Environment variable.
    pub env: &'static str,
    /// Value that holds when neither is given; `None` makes the setting required.
    pub default: Option<&'static str>,
    /// What is allowed, in words.
    pub allowed: &'static str,
    /// What it does, in one sentence.
    pub help: &'static str,
    /// Whether its value is masked wherever it is shown.
    pub secret: bool,
}

/// Defines a setting that is no secret, as a constant.
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

/// Where a value came from.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
pub enum Origin {
    /// The command line.
    #[display("flag")]
    Flag,
    /// The environment.
    #[display("environment")]
    Environment,
    /// The definition.
    #[display("default")]
    Default,
}

/// The values of a program's settings together with the problems found in them.
#[derive(Debug, Default)]
pub struct Sheet {
    problems: Problems,
    rows: Vec<Row>,
}

#[derive(Debug)]
struct Row {
    setting: &'static Setting,
    value: String,
    origin: Origin,
}

impl Sheet {
    /// Reads one setting and parses it; a problem is recorded and reported by [`Sheet::finish`].
    ///
    /// Returns `None` only if a problem was recorded.
    pub fn read<T: FromStr>(&mut self, setting: &'static Setting, flag: Option<&str>) -> Option<T> {
        self.read_from(setting, flag, |name| std::env::var(name).ok())
    }

    /// Reads one setting with the environment given as a function.
    pub fn read_from<T: FromStr>(
        &mut self,
        setting: &'static Setting,
        flag: Option<&str>,
        env: impl Fn(&str) -> Option<String>,
    ) -> Option<T> {
        let Some((text, origin)) = find(setting, flag, env) else {
            self.problems.add(label(setting), &"(absent)", setting.allowed);
            return None;
        };
        let parsed = text.parse().ok();
        if parsed.is_none() {
            self.problems
                .add(label(setting), &shown(setting, &text), setting.allowed);
        }
        self.rows.push(Row {
            setting,
            value: text,
            origin,
        });
        parsed
    }

    /// Records that a value which parsed is not allowed.
    pub fn reject(&mut self, setting: &'static Setting, value: &dyn Display) {
        self.problems
            .add(label(setting), &shown(setting, &value.to_string()), setting.allowed);
    }

    /// Gives the value, or records a problem where it is out of range.
    pub fn check<T: Display>(
        &mut self,
        setting: &'static Setting,
        value: Option<T>,
        good: impl Fn(&T) -> bool,
    ) -> Option<T> {
        if let Some(value) = &value
            && !good(value)
        {
            self.reject(setting, value);
        }
        value
    }

    /// Ends reading.
    ///
    /// # Errors
    /// Returns every problem that was recorded.
    pub fn finish(&self) -> Result<(), Problems> {
        self.problems.clone().into_result()
    }

    /// Renders each setting with its value and origin, secrets masked.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = String::new();
        for row in &self.rows {
            let value = shown(row.setting, &row.value);
            // Writing to a string cannot fail.
            let _ = writeln!(text, "--{}={value}  ({})", row.setting.flag, row.origin);
        }
        text
    }
}

/// Reads a program's settings, and prints them if asked to.
///
/// Returns `None` when the program was only to print or check them.
///
/// # Errors
/// Returns every setting that is missing or not allowed.
pub fn begin<S>(
    print: bool,
    check: bool,
    read: impl FnOnce(&mut Sheet) -> Result<S, Problems>,
) -> Result<Option<S>, Problems> {
    let mut sheet = Sheet::default();
    let settings = read(&mut sheet);
    if print {
        print!("{}", sheet.render());
    }
    let settings = settings?;
    Ok((!print && !check).then_some(settings))
}

/// A list that is written with commas in a setting.
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
pub fn reference(program: &str, settings: &[&Setting]) -> String {
    let mut text =
        format!("## {program}\n\n| flag | environment | default | allowed | meaning |\n|---|---|---|---|---|\n");
    for setting in settings {
        let default = setting
            .default
            .map_or_else(|| "required".to_owned(), |value| format!("`{value}`"));
        let (flag, env, allowed, help) = (setting.flag, setting.env, setting.allowed, setting.help);
        // Writing to a string cannot fail.
        let _ = writeln!(text, "| `--{flag}` | `{env}` | {default} | {allowed} | {help} |");
    }
    text
}

fn find(setting: &Setting, flag: Option<&str>, env: impl Fn(&str) -> Option<String>) -> Option<(String, Origin)> {
    let flag = flag.map(|text| (text.to_owned(), Origin::Flag));
    let env = || env(setting.env).map(|text| (text, Origin::Environment));
    let default = || setting.default.map(|text| (text.to_owned(), Origin::Default));
    flag.or_else(env).or_else(default)
}

fn label(setting: &Setting) -> String {
    format!("--{} ({})", setting.flag, setting.env)
}

fn shown(setting: &Setting, value: &str) -> String {
    if setting.secret {
        "***".to_owned()
    } else {
        value.to_owned()
    }
}
