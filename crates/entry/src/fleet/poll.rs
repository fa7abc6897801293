//! Reading of load reports.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use policy::load::Report;
use upstream::engine::EngineClient;

use super::Fleet;
use crate::current::Current;

/// Pause between two rounds of load reports.
const POLL: Duration = Duration::from_millis(250);
const POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Reads load reports until told to stop.
pub fn poll(fleet: &Fleet, current: &Current, stop: &AtomicBool) {
    let client = EngineClient::new(POLL_TIMEOUT);
    while !stop.load(Ordering::Relaxed) {
        fleet.refresh(&current.view());
        let index = fleet.index.load_full();
        for row in index.rows.values() {
            match client.load(row.spec.address, POLL_TIMEOUT) {
                Ok(load) => {
                    let report = Report {
                        measured: fleet.clock.now() - Duration::from_millis(load.age_ms),
                        running: load.running,
                        waiting: load.waiting,
                        kv_used: load.kv_used,
                    };
                    row.member.state.lock().load.report(report);
                    fleet.hosts.answered(&row.spec.host, fleet.clock.now());
                }
                Err(error) => fleet.hosts.failed(&row.spec.host, &error, fleet.clock.now()),
            }
        }
        std::thread::sleep(POLL);
    }
}
