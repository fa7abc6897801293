//! `gentianctl state` against running state nodes: replacing a lost disk and verifying data folders.

#[path = "../../state/tests/nodes/mod.rs"]
#[expect(dead_code, reason = "the tests of the state package use more of it")]
mod nodes;

use std::fs;
use std::path::Path;
use std::process::{Command, Output};

use nodes::{KEY, Nodes, wait};

const PROGRAM: &str = env!("CARGO_BIN_EXE_gentianctl");

/// Builds the state node and starts a group of them.
fn start(count: usize) -> Nodes {
    let mut build = Command::new(env!("CARGO"));
    build.args(["build", "--locked", "--quiet", "--package", "state", "--bins"]);
    if !cfg!(debug_assertions) {
        build.arg("--release");
    }
    assert!(build.status().unwrap().success());
    Nodes::start(&Path::new(PROGRAM).with_file_name("gentian-state"), count)
}

fn run(nodes: &Nodes, arguments: &[&str]) -> Output {
    let admin: Vec<String> = nodes.admin.iter().map(ToString::to_string).collect();
    let mut command = Command::new(PROGRAM);
    command
        .env("GENTIAN_OPERATOR_KEY", KEY)
        .env("GENTIAN_ADMIN", admin.join(","));
    command.arg("state").args(arguments).output().unwrap()
}

/// Returns standard output and standard error as one text.
fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

/// A node loses its disk and is started with an empty folder. The blank disk must vote only after the operator has put
/// it in the place of the lost one, and a replacement without a blank disk must be refused, so that a mistyped name
/// removes no member.
#[test]
fn lost_disk() {
    let mut nodes = start(3);
    // The first node in the list is called first, also after it has lost its disk.
    let lost = 0;
    let name = format!("state-{lost}");
    let refused = run(&nodes, &["replace", &name]);
    assert!(
        !refused.status.success() && text(&refused).contains("blank"),
        "{}",
        text(&refused)
    );
    nodes.kill(lost);
    nodes.wipe(lost);
    nodes.run(lost);
    wait("the announcement", || {
        text(&run(&nodes, &["members"])).contains("blank").then_some(())
    });
    let replaced = run(&nodes, &["replace", &name]);
    assert!(replaced.status.success(), "{}", text(&replaced));
    wait("three voters", || {
        let members = text(&run(&nodes, &["members"]));
        let voters = members
            .lines()
            .filter(|line| line.ends_with("voter") || line.ends_with("leader"))
            .count();
        (voters == 3 && !members.contains("replaces") && !members.contains("blank")).then_some(())
    });
}

/// A bit of the log has flipped. The check must name the file and the offset, and fail with an exit code for scripts.
#[test]
fn corrupt_log() {
    let mut nodes = start(1);
    nodes.kill(0);
    let folder = nodes.data(0);
    let folder = folder.to_str().unwrap();
    let sound = run(&nodes, &["check", folder]);
    assert!(
        sound.status.success() && text(&sound).starts_with("sound"),
        "{}",
        text(&sound)
    );
    let log = nodes.data(0).join("log-0000000000000001");
    let mut bytes = fs::read(&log).unwrap();
    bytes[22] ^= 1;
    fs::write(&log, bytes).unwrap();
    let damaged = run(&nodes, &["check", folder]);
    let report = text(&damaged);
    assert!(
        !damaged.status.success() && report.contains("log-0000000000000001") && report.contains("offset 8"),
        "{report}"
    );
}
