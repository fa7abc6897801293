//! Case 7: a service that is scaled, has no prices and no replica yet ends the duties of the leader for good.

use std::collections::BTreeSet;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use review_kit_2::client::{Client, Outcome};
use review_kit_2::has_trouble;
use review_kit_2::record::{BROKEN, NOT_RUN, Record};
use review_kit_2::replica::{Replica, Runs};
use review_kit_2::system::{MWANGAZA_GROWN, System, config, config_with};

/// `reportWindowS` and `usageLateS`, in milliseconds.
const WINDOW_MS: u128 = 5_000;
const LATE_MS: u128 = 10_000;
/// Longest wait for the first report.
const FIRST_REPORT: Duration = Duration::from_secs(30);
/// Time from the change to the end.
const AFTER: Duration = Duration::from_secs(45);
/// Pause between two bookings.
const PAUSE: Duration = Duration::from_millis(100);

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

/// Returns the service that the change adds.
fn added_service() -> String {
    let prices = if has_trouble() {
        ""
    } else {
        "\"zone-1\":1.0,\"zone-2\":0.8"
    };
    format!(
        ",{{\"name\":\"huvo11a\",\"healthPath\":\"/health\",\"maxConnections\":370,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":64,\"kvCapacity\":567921,\"kvTokenBytes\":163840,\"linkMbps\":260000.0,\"moves\":true,\
         \"backups\":true,\"stride\":5,\"most\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handleS\":5.0,\
         \"models\":[{{\"name\":\"m\"}}]}},\
         \"scaling\":{{\"min\":1,\"max\":6,\"bootS\":4.0,\"spotPrice\":0.15,\"zonePrices\":{{{prices}}}}}}}"
    )
}

fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis())
}

/// Returns the windows that have been reported.
fn reported(system: &System) -> BTreeSet<u128> {
    let bodies = system
        .cloud
        .usage
        .lock()
        .map_or_else(|_| Vec::new(), |usage| usage.clone());
    let window = |body: &String| {
        let value = body.split_once("\"windowId\":")?.1.trim_start();
        let digits: String = value.chars().take_while(char::is_ascii_digit).collect();
        digits.parse().ok()
    };
    bodies.iter().filter_map(window).collect()
}

fn run(system: &mut System, record: &Record) -> i32 {
    let runs: Runs = Arc::default();
    let replica = Replica::start("i-7f3a91c2", system.replica(150), &runs, "timeout=5");
    if let Ok(mut list) = system.cloud.instances.lock() {
        list.push(replica.entry("wuno96b", "zone-1"));
    }
    let hosts: Vec<u8> = system.hosts().collect();
    for host in &hosts {
        system.start(*host, true);
    }
    if system.publish(&hosts, &config(1, 0), Duration::from_secs(10)).is_none() {
        record.line("the first configuration was not acknowledged");
        return NOT_RUN;
    }
    system.start_entry();
    sleep(Duration::from_secs(4));
    let mut client = Client::new(system.callers());
    let (mut sent, mut answered) = (0, 0);
    let mut book = |record: &Record| {
        sent += 1;
        let outcome = client.ask("/pufi791/2f", &format!("9c41d07be2a3{sent:04}"));
        if matches!(outcome, Outcome::Answered(200, _)) {
            answered += 1;
        } else {
            record.line(&format!("booking {sent}: {outcome:?}"));
        }
        sleep(PAUSE);
        answered
    };
    let started = Instant::now();
    while reported(system).is_empty() {
        if started.elapsed() > FIRST_REPORT {
            record.line("no usage was reported before the change");
            return NOT_RUN;
        }
        book(record);
    }
    record.line(&format!("windows reported before the change: {:?}", reported(system)));
    let changed = config_with(2, 0, &added_service());
    if system.publish(&hosts, &changed, Duration::from_secs(10)).is_none() {
        record.line("version 2 was not acknowledged");
        return NOT_RUN;
    }
    record.line("version 2 is acknowledged: it adds the service huvo11a, which has no replica yet");
    let (changed_ms, changed_at) = (unix_ms(), Instant::now());
    let mut answered = 0;
    while changed_at.elapsed() < AFTER {
        answered = book(record);
    }
    // Windows that began after the change, and whose report is late by now.
    let first = changed_ms / WINDOW_MS + 1;
    let end = (unix_ms() - LATE_MS) / WINDOW_MS;
    let known = reported(system);
    let missing: Vec<u128> = (first..end).filter(|window| !known.contains(window)).collect();
    record.line(&format!("windows reported in all: {known:?}"));
    let panics: usize = hosts
        .iter()
        .map(|host| system.log(&format!("core-{host}")).matches("panicked").count())
        .sum();
    record.line(&format!(
        "{answered} bookings answered with success; of the windows {first} to {} after the change, {} are not reported {} s after \
         their end: {missing:?}; {panics} panics in the logs of the state nodes",
        end - 1,
        missing.len(),
        LATE_MS / 1_000
    ));
    if answered == 0 || end <= first {
        return NOT_RUN;
    }
    if missing.is_empty() { 0 } else { BROKEN }
}
