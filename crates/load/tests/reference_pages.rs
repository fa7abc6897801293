//! Agreement of the reference pages with the code.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use contract::settings::{Setting, reference_table};

const PAGE_HEAD: &str = "# Settings

Made from the definitions in the code; `UPDATE_PAGES=yes cargo test -p load --test reference_pages` writes it anew.

Every setting is a flag and an environment variable; the flag wins. A program checks all of its settings together at
start and reports every wrong one with its value and what is allowed. `--check-settings` ends after that;
`--print-settings` shows each value with where it came from, secrets masked.

`gentianctl` reads `GENTIAN_ADMIN` (or `--admin`: administration addresses of the state group), `GENTIAN_ENTRIES` (or
`--entries`: inner addresses of the entry hosts) and `GENTIAN_OPERATOR_KEY`, which has no flag, since the command lines of
processes can be read by others on the machine.
";

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn page(name: &str) -> String {
    let path = root().join("docs/reference").join(name);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// The page of the settings would mislead operators if it differed from the definitions.
#[test]
fn settings_page() {
    let programs: [(&str, &[&Setting]); 3] = [
        ("gentian-entry", &entry::settings::ALL),
        ("gentian-state", &state::settings::ALL),
        ("gentian-capacity", &capacity::settings::ALL),
    ];
    let tables: Vec<String> = programs.iter().map(|(name, all)| reference_table(name, all)).collect();
    let expected = format!("{PAGE_HEAD}\n{}", tables.join("\n"));
    if std::env::var("UPDATE_PAGES").is_ok() {
        std::fs::write(root().join("docs/reference/settings.md"), &expected).expect("the page can be written");
    }
    assert!(
        page("settings.md") == expected,
        "docs/reference/settings.md is not what the code says; UPDATE_PAGES=yes writes it anew"
    );
}

/// Two settings of a program with the same flag, or a variable that does not follow from its flag, would confuse
/// operators.
#[test]
fn settings_distinct() {
    for all in [
        entry::settings::ALL.as_slice(),
        state::settings::ALL.as_slice(),
        capacity::settings::ALL.as_slice(),
    ] {
        let flags: BTreeSet<&str> = all.iter().map(|setting| setting.flag).collect();
        assert_eq!(flags.len(), all.len());
        for setting in all {
            let variable = format!("GENTIAN_{}", setting.flag.replace('-', "_").to_uppercase());
            assert_eq!(setting.env, variable);
        }
    }
}

/// Returns the names of all metrics in the sources of the programs.
fn metrics_in_sources() -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    let mut folders = vec![root().join("crates"), root().join("platform/src")];
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(&folder).expect("a readable folder") {
            let path = entry.expect("a readable entry").path();
            if path.is_dir() && !path.ends_with("tests") && !path.ends_with("benches") {
                folders.push(path);
            } else if path.extension().is_some_and(|kind| kind == "rs") {
                let text = std::fs::read_to_string(&path).expect("a readable file");
                for part in text.split("\"gentian_").skip(1) {
                    let end = part.find(|c: char| c != '_' && !c.is_ascii_alphanumeric());
                    let name = &part[..end.unwrap_or(part.len())];
                    names.insert(format!("gentian_{name}"));
                }
            }
        }
    }
    names
}

/// Operators would see a metric that is not documented, or look for one that was removed.
#[test]
fn metrics_page() {
    let page = page("metrics.md");
    let rows = page.lines().filter_map(|line| line.strip_prefix("| `"));
    let listed: BTreeSet<String> = rows
        .filter_map(|row| row.split('`').next())
        .map(str::to_owned)
        .collect();
    let named = metrics_in_sources();
    let missing: Vec<&String> = named.difference(&listed).collect();
    let stale: Vec<&String> = listed.difference(&named).collect();
    assert!(
        missing.is_empty() && stale.is_empty(),
        "not on the page: {missing:?}; on the page and not in the code: {stale:?}"
    );
}

/// Operators would misread a metric whose name does not say what it counts or its unit.
#[test]
fn metric_units() {
    let units = [
        "total",
        "seconds",
        "ms",
        "bytes",
        "requests",
        "revision",
        "hosts",
        "tokens",
        "upstreams",
        "claims",
        "slots",
        "index",
        "term",
        "members",
        "connections",
        "count",
        "is",
    ];
    for name in metrics_in_sources() {
        assert!(
            name.split('_').any(|word| units.contains(&word)),
            "{name} has no unit in its name"
        );
    }
}
