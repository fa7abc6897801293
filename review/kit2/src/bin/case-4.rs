//! Case 4: a core of five whose loss of two disks is to be borne loses its configuration for good when two disks are lost
//! while a third machine is dark.

use std::path::PathBuf;
use std::thread::sleep;
use std::time::{Duration, Instant};

use review_kit_2::has_trouble;
use review_kit_2::record::{BROKEN, NOT_RUN, Record};
use review_kit_2::system::{MWANGAZA_GROWN, System, config};

/// Time for which the first machine is dark: at most 7 s on this site.
const DARK: Duration = Duration::from_millis(5_000);
/// Time after which a change is made meanwhile.
const CHANGE_AFTER: Duration = Duration::from_millis(3_500);
/// Time for which the machines that lose their disks are down, as on this site.
const WIPED: Duration = Duration::from_secs(3);
/// Time beyond `recoveryS` for which the operator goes on reading.
const EXTRA: Duration = Duration::from_secs(15);

fn main() {
    let path = std::env::args()
        .nth(1)
        .map_or_else(|| PathBuf::from("record.txt"), PathBuf::from);
    let record = Record::create(&path);
    let code = match System::new(MWANGAZA_GROWN) {
        Some(mut system) => run(&mut system, &record),
        None => NOT_RUN,
    };
    record.line(&format!("exit {code}"));
    std::process::exit(code);
}

fn run(system: &mut System, record: &Record) -> i32 {
    let hosts: Vec<u8> = system.hosts().collect();
    for host in &hosts {
        system.start(*host, true);
    }
    let Some(by) = system.publish(&hosts, &config(1, 0), Duration::from_secs(10)) else {
        record.line("the first configuration was not acknowledged");
        return NOT_RUN;
    };
    record.line(&format!("version 1 acknowledged by core-{by}"));
    // All machines join, and have `catchUpS` (6 s) besides.
    sleep(Duration::from_secs(9));
    let dark = 1;
    if has_trouble() {
        record.line(&format!("core-{dark} loses power"));
        system.kill(dark);
    }
    let dark_since = Instant::now();
    sleep(CHANGE_AFTER);
    let running: Vec<u8> = hosts
        .iter()
        .copied()
        .filter(|host| !has_trouble() || *host != dark)
        .collect();
    let Some(by) = system.publish(&running, &config(2, 0), Duration::from_secs(10)) else {
        record.line("version 2 was not acknowledged");
        return NOT_RUN;
    };
    record.line(&format!("version 2 acknowledged by core-{by}"));
    if has_trouble() {
        let other = *running.iter().find(|host| **host != by).unwrap_or(&by);
        for host in [by, other] {
            system.kill(host);
            system.wipe(host);
            record.line(&format!("core-{host} loses its disk"));
        }
        let wiped_since = Instant::now();
        sleep(DARK.saturating_sub(dark_since.elapsed()));
        system.start(dark, false);
        record.line(&format!("core-{dark} is back with its disk"));
        sleep(WIPED.saturating_sub(wiped_since.elapsed()));
        for host in [by, other] {
            system.start(host, false);
            record.line(&format!("core-{host} is back with an empty disk"));
        }
    }
    record.line("all machines are back");
    let back = Instant::now();
    let recovery = Duration::from_secs(system.deployment.recovery_s);
    let mut last = Vec::new();
    while back.elapsed() < recovery + EXTRA {
        let reads: Vec<Result<u64, u16>> = hosts.iter().map(|host| system.read(*host)).collect();
        if reads != last {
            record.line(&format!("read from core-1 to core-5 (version, or status): {reads:?}"));
            last.clone_from(&reads);
        }
        if let Some(older) = reads.iter().flatten().find(|version| **version < 2) {
            record.line(&format!("an older version is shown: {older}"));
            return BROKEN;
        }
        if reads.contains(&Ok(2)) {
            record.line(&format!(
                "version 2 is read {:.1} s after all are back",
                back.elapsed().as_secs_f64()
            ));
            return 0;
        }
        sleep(Duration::from_millis(500));
    }
    for host in &hosts {
        if system.has_ended(*host) {
            record.line(&format!("core-{host} has ended by itself"));
        }
    }
    record.line(&format!(
        "version 2, which was acknowledged, is not there {:.0} s after all machines are back; recoveryS is {}",
        back.elapsed().as_secs_f64(),
        recovery.as_secs()
    ));
    BROKEN
}
