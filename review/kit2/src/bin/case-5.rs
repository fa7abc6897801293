//! Case 5: state nodes keep the last 1,024 log records in memory whatever their size, so that some hundred changes of a
//! configuration with many routes bring every core machine over its memory limit.

use std::path::PathBuf;
use std::thread::sleep;
use std::time::{Duration, Instant};

use review_kit_2::has_trouble;
use review_kit_2::record::{BROKEN, NOT_RUN, Record};
use review_kit_2::system::{MWANGAZA_GROWN, System, config};

/// Routes that are added: five times the largest dose of `big_config` on this site.
const ADDED_ROUTES: usize = 5 * 1_400;
/// Ends of a process by itself in a day from which a machine counts.
const MAX_ENDS: u32 = 3;
/// Time after which the platform starts a process again that has ended.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Longest time in which changes are made.
const LONGEST: Duration = Duration::from_secs(108);
/// Most changes, also without the disruption.
const MOST_CHANGES: u64 = 600;
/// Time without a response after which the operator moves on; the bodies are large.
const MOVE_ON: Duration = Duration::from_secs(4);
/// Time within which a change has to be acknowledged: `ackMs`, and 3 ms for each route.
const ACK_TIME: Duration = Duration::from_millis(5_000 + 3 * 7_001);

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

/// What became of the processes of one machine.
#[derive(Clone, Copy, Debug, Default)]
struct Machine {
    ends: u32,
    peak_mb: u64,
    restart_at: Option<Instant>,
}

fn run(system: &mut System, record: &Record) -> i32 {
    let hosts: Vec<u8> = system.hosts().collect();
    for host in &hosts {
        system.start(*host, true);
    }
    if system.publish(&hosts, &config(1, 0), Duration::from_secs(10)).is_none() {
        record.line("the first configuration was not acknowledged");
        return NOT_RUN;
    }
    sleep(Duration::from_secs(3));
    let routes = if has_trouble() { ADDED_ROUTES } else { 0 };
    record.line(&format!("changes of a configuration with {} routes begin", routes + 1));
    let mut machines = vec![Machine::default(); hosts.len()];
    let started = Instant::now();
    let mut acknowledged = 0;
    for version in 2..2 + MOST_CHANGES {
        if started.elapsed() > LONGEST {
            break;
        }
        let text = config(version, routes);
        let sent = Instant::now();
        let mut order = hosts.iter().cycle().skip(version as usize);
        let is_acknowledged = loop {
            look(system, &hosts, &mut machines, record, acknowledged);
            if broken(&machines) || sent.elapsed() > ACK_TIME || started.elapsed() > LONGEST {
                break false;
            }
            let host = *order.next().unwrap_or(&1);
            if system
                .put(host, &text, MOVE_ON)
                .is_some_and(|reply| reply.status == 200)
            {
                break true;
            }
            sleep(Duration::from_millis(50));
        };
        if is_acknowledged {
            acknowledged += 1;
        } else if !broken(&machines) {
            record.line(&format!(
                "version {version} was not acknowledged within {} s",
                ACK_TIME.as_secs()
            ));
        }
        if version % 50 == 0 {
            let memory: Vec<u64> = hosts.iter().map(|host| system.resident_mb(*host)).collect();
            record.line(&format!(
                "{acknowledged} changes acknowledged, {} bytes each; resident MB: {memory:?}",
                text.len()
            ));
        }
        if broken(&machines) {
            break;
        }
    }
    for (host, machine) in hosts.iter().zip(&machines) {
        record.line(&format!(
            "core-{host}: {} ends by itself, {} MB at most",
            machine.ends, machine.peak_mb
        ));
    }
    record.line(&format!(
        "{acknowledged} changes acknowledged in {:.0} s",
        started.elapsed().as_secs_f64()
    ));
    if broken(&machines) { BROKEN } else { 0 }
}

/// Does what the platform does: it kills a process that uses more memory than its machine has, and starts it again.
fn look(system: &mut System, hosts: &[u8], machines: &mut [Machine], record: &Record, acknowledged: u64) {
    let limit = u64::from(system.deployment.memory_mb);
    for (host, machine) in hosts.iter().zip(machines) {
        if machine.restart_at.is_some_and(|at| at <= Instant::now()) {
            machine.restart_at = None;
            system.start(*host, false);
        }
        let resident = system.resident_mb(*host);
        machine.peak_mb = machine.peak_mb.max(resident);
        if resident > limit {
            system.kill(*host);
            machine.ends += 1;
            machine.restart_at = Some(Instant::now() + RESTART_DELAY);
            record.line(&format!(
                "core-{host} uses {resident} MB of {limit} MB after {acknowledged} changes and ends, for the {}. time",
                machine.ends
            ));
        } else if system.has_ended(*host) {
            system.kill(*host);
            machine.ends += 1;
            machine.restart_at = Some(Instant::now() + RESTART_DELAY);
            record.line(&format!("core-{host} has ended by itself"));
        }
    }
}

/// Returns whether the processes on half of the core have ended by themselves three times.
fn broken(machines: &[Machine]) -> bool {
    let count = machines.iter().filter(|machine| machine.ends >= MAX_ENDS).count();
    2 * count >= machines.len()
}
