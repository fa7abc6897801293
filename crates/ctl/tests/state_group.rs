//! An operator looks after the state group: replaces a lost disk and verifies folders.

#[path = "../../state/tests/nodes/mod.rs"]
#[expect(dead_code, reason = "the tests of the state package use more of it")]
mod nodes;

use std::fs;
use std::path::Path;
use std::process::{Command, Output};

use nodes::{KEY, Nodes, wait};

const PROGRAM: &str = env!("CARGO_BIN_EXE_gentianctl");

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

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

/// A node loses its disk. The operator starts it with an empty folder, which votes only after it was put in the place of
/// the lost one; before that the name is refused, so that a typing error removes nobody.
#[test]
fn lost_disk() {
    let mut nodes = start(3);
    let lost = (nodes.leader() + 1) % 3;
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
    let begun = run(&nodes, &["replace", &name]);
    assert!(begun.status.success(), "{}", text(&begun));
    wait("three voters", || {
        let members = text(&run(&nodes, &["members"]));
        let voters = members
            .lines()
            .filter(|line| line.ends_with("voter") || line.ends_with("leader"))
            .count();
        (voters == 3 && !members.contains("replaces") && !members.contains("blank")).then_some(())
    });
}

/// A bit of the log has flipped. The check names the file and the place and fails, so that a script notices.
#[test]
fn folder_check() {
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
    let said = text(&damaged);
    assert!(
        !damaged.status.success() && said.contains("log-0000000000000001") && said.contains("offset 8"),
        "{said}"
    );
}
