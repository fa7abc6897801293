//! Scheduled faults, the same for every policy.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::fleet::{ENGINES, ZONES, zone_name};
use super::system::System;
use crate::workload::PlanOptions;

/// Time from a reclaim notice of the cloud until it takes the hosts.
const RECLAIM_NOTICE: Duration = Duration::from_secs(2);
/// Time from the loss of a host until its replacement starts.
const REPLACEMENT_DELAY: Duration = Duration::from_millis(1_500);
/// Duration of a freeze.
const FREEZE_TIME: Duration = Duration::from_millis(1_200);
/// Pause between two checks for due faults and stopped entry hosts.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A fault; members of the fleet, zones and entry hosts are given by index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Freezes (true) or resumes (false) the process of a member.
    Freeze(usize, bool),
    /// Announces the reclaim of the hosts in a zone.
    AnnounceReclaim(usize),
    /// Kills a host without notice.
    Kill(usize),
    /// Starts a replacement host with the same name.
    Replace(usize),
    /// Stops an entry host gracefully; it is restarted once it has exited.
    Restart(usize),
}

/// Faults, ordered by time.
#[derive(Clone, Debug)]
pub struct Schedule {
    duration: Duration,
    faults: Vec<(Duration, Fault)>,
}

impl Schedule {
    /// Generates the schedule of a seed: the freeze of an engine, the reclaim of a zone, a kill without notice, the
    /// restart of an entry host and the freeze of a service.
    #[must_use]
    pub fn new(options: &PlanOptions) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(options.seed ^ 0xfa17);
        let at = |fraction: f64| options.duration.mul_f64(fraction);
        // Only the first two zones have hosts that can be reclaimed.
        let zone = rng.random_range(0..2);
        let other_engines: Vec<usize> = (0..ENGINES).filter(|at| at % ZONES != zone).collect();
        let frozen = other_engines[rng.random_range(0..other_engines.len())];
        let killed = other_engines[rng.random_range(0..other_engines.len())];
        let entry = rng.random_range(0..ZONES);
        let service = ENGINES + rng.random_range(0..4);
        let mut faults = vec![
            (at(0.15), Fault::Freeze(frozen, true)),
            (at(0.15) + FREEZE_TIME, Fault::Freeze(frozen, false)),
            (at(0.35), Fault::AnnounceReclaim(zone)),
            (at(0.65), Fault::Kill(killed)),
            (at(0.65) + REPLACEMENT_DELAY, Fault::Replace(killed)),
            (at(0.75), Fault::Restart(entry)),
            (at(0.85), Fault::Freeze(service, true)),
            (at(0.85) + FREEZE_TIME, Fault::Freeze(service, false)),
        ];
        for engine in (0..ENGINES).filter(|at| at % ZONES == zone) {
            faults.push((at(0.35) + RECLAIM_NOTICE, Fault::Kill(engine)));
            faults.push((at(0.35) + RECLAIM_NOTICE + REPLACEMENT_DELAY, Fault::Replace(engine)));
        }
        faults.sort_by_key(|(at, _)| *at);
        Self {
            duration: options.duration,
            faults,
        }
    }

    /// Returns a schedule without faults.
    #[must_use]
    pub const fn without_faults(options: &PlanOptions) -> Self {
        Self {
            duration: options.duration,
            faults: Vec::new(),
        }
    }

    /// Injects the faults until `stop` is set; returns the system.
    ///
    /// # Errors
    /// Fails when a fault can't be injected, or when an entry host does not stop cleanly.
    pub fn run(&self, mut system: System, start: Instant, stop: &AtomicBool) -> anyhow::Result<System> {
        let mut next = self.faults.iter().peekable();
        let mut billing_stopped = false;
        system.fleet.start_billing();
        while !stop.load(Ordering::Relaxed) {
            if let Some((_, fault)) = next.next_if(|(at, _)| start.elapsed() >= *at) {
                inject(&mut system, *fault)?;
                continue;
            }
            if !billing_stopped && start.elapsed() >= self.duration {
                // Only the time of the arrivals is billed: one late answer must not change the cost of all others.
                system.fleet.stop_billing();
                billing_stopped = true;
            }
            system.restart_entries()?;
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(system)
    }
}

fn inject(system: &mut System, fault: Fault) -> anyhow::Result<()> {
    match fault {
        Fault::Freeze(index, frozen) => system.fleet.freeze(index, frozen),
        Fault::AnnounceReclaim(zone) => system.announce_reclaim(&zone_name(zone), RECLAIM_NOTICE),
        Fault::Kill(index) => {
            system.fleet.kill(index);
            Ok(())
        }
        Fault::Replace(index) => system.replace_member(index),
        Fault::Restart(index) => system.stop_entry(index),
    }
}
