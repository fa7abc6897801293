//! Case 6: a replica that states a very long idle timeout costs each of its callers the answer.

use std::path::PathBuf;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use review_kit_2::client::{Client, Outcome};
use review_kit_2::has_trouble;
use review_kit_2::record::{BROKEN, NOT_RUN, Record};
use review_kit_2::replica::{Replica, Runs};
use review_kit_2::system::{MWANGAZA_GROWN, System, config};

/// Value of `Keep-Alive` of an ordinary replica.
const ORDINARY: &str = "timeout=5";
/// Value of a replica that never closes an idle connection: the largest number of a signed 64-bit integer.
const ENDLESS: &str = "timeout=9223372036854775807";
/// Clients, each with a connection of its own that it keeps.
const CLIENTS: usize = 10;
/// Bookings of each client before and after the second replica is there.
const BEFORE: u32 = 3;
const AFTER: u32 = 6;
/// Closed connections that the rule allows.
const ALLOWED: u32 = 3;

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
    let runs: Runs = Arc::default();
    let endless = if has_trouble() { ENDLESS } else { ORDINARY };
    let first = Replica::start("i-7f3a91c2", system.replica(150), &runs, ORDINARY);
    let second = Replica::start("i-0b52c7d1", system.replica(151), &runs, endless);
    let service = "wuno96b";
    if let Ok(mut list) = system.cloud.instances.lock() {
        list.push(first.entry(service, "zone-1"));
    }
    record.line(&format!(
        "replica {} states Keep-Alive: {ORDINARY}; {} states {endless}",
        first.id, second.id
    ));
    let hosts: Vec<u8> = system.hosts().collect();
    for host in &hosts {
        system.start(*host, true);
    }
    if system.publish(&hosts, &config(1, 0), Duration::from_secs(10)).is_none() {
        record.line("the first configuration was not acknowledged");
        return NOT_RUN;
    }
    system.start_entry();
    // The entry host has heard of the configuration and of the replicas, and is in touch for `contactMs` (4 s).
    sleep(Duration::from_secs(6));
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| Client::new(system.callers())).collect();
    let (mut sent, mut answered, mut lost) = (0, 0, 0);
    for round in 0..BEFORE + AFTER {
        if round == BEFORE {
            if let Ok(mut list) = system.cloud.instances.lock() {
                list.push(second.entry(service, "zone-1"));
            }
            record.line(&format!("replica {} is added to the list", second.id));
            sleep(Duration::from_secs(3));
        }
        for (number, client) in clients.iter_mut().enumerate() {
            sent += 1;
            let id = format!("9c41d07be2a3{sent:04}");
            let outcome = client.ask("/pufi791/2f", &id);
            let ran = runs.lock().map_or(0, |runs| runs.get(&id).copied().unwrap_or(0));
            record.line(&format!("client {number}, booking {id}: {outcome:?}; ran {ran} times"));
            match outcome {
                Outcome::Answered(200, _) => answered += 1,
                Outcome::Closed(before) if before > 0 && ran > 0 => lost += 1,
                _ => {}
            }
            sleep(Duration::from_millis(50));
        }
    }
    let panics = system.log("front-1").matches("panicked").count();
    record.line(&format!(
        "{sent} bookings sent, {answered} answered with success; {lost} ran on a sound replica, and their kept connection was \
         closed without an answer; {panics} panics in the log of the entry host"
    ));
    if answered == 0 {
        return NOT_RUN;
    }
    if lost > ALLOWED { BROKEN } else { 0 }
}
