//! Faults on a schedule, the same for every policy.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::fleet::{ENGINES, ZONES, zone_name};
use super::system::System;
use crate::workload::Extent;

/// Notice that the cloud gives before it takes hosts away.
const NOTICE: Duration = Duration::from_secs(2);
/// Time until a host that was taken away is replaced.
const REPLACED: Duration = Duration::from_millis(1_500);
const FROZEN: Duration = Duration::from_millis(1_200);
const STEP: Duration = Duration::from_millis(10);

/// Something that goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process stands still or goes on.
    Freeze(usize, bool),
    /// The cloud announces that it takes a zone's hosts away.
    Announce(usize),
    /// A host is gone.
    Kill(usize),
    /// A host of the same name comes.
    Return(usize),
    /// An entry host is told to stop and started again.
    Restart(usize),
}

/// Faults in order of time.
#[derive(Clone, Debug)]
pub struct Schedule {
    length: Duration,
    faults: Vec<(Duration, Fault)>,
}

impl Schedule {
    /// Makes the schedule of a seed: a freeze, a reclaim of a zone, a kill without notice, the restart of an entry host
    /// and a freeze of a service.
    #[must_use]
    pub fn new(extent: &Extent) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(extent.seed ^ 0xfa17);
        let at = |part: f64| extent.duration.mul_f64(part);
        // Only the first two zones have hosts that can be reclaimed.
        let zone = rng.random_range(0..2);
        let others: Vec<usize> = (0..ENGINES).filter(|at| at % ZONES != zone).collect();
        let frozen = others[rng.random_range(0..others.len())];
        let killed = others[rng.random_range(0..others.len())];
        let entry = rng.random_range(0..ZONES);
        let service = ENGINES + rng.random_range(0..4);
        let mut faults = vec![
            (at(0.15), Fault::Freeze(frozen, true)),
            (at(0.15) + FROZEN, Fault::Freeze(frozen, false)),
            (at(0.35), Fault::Announce(zone)),
            (at(0.65), Fault::Kill(killed)),
            (at(0.65) + REPLACED, Fault::Return(killed)),
            (at(0.75), Fault::Restart(entry)),
            (at(0.85), Fault::Freeze(service, true)),
            (at(0.85) + FROZEN, Fault::Freeze(service, false)),
        ];
        for engine in (0..ENGINES).filter(|at| at % ZONES == zone) {
            faults.push((at(0.35) + NOTICE, Fault::Kill(engine)));
            faults.push((at(0.35) + NOTICE + REPLACED, Fault::Return(engine)));
        }
        faults.sort_by_key(|(at, _)| *at);
        Self {
            length: extent.duration,
            faults,
        }
    }

    /// Makes a schedule without faults.
    #[must_use]
    pub const fn quiet(extent: &Extent) -> Self {
        Self {
            length: extent.duration,
            faults: Vec::new(),
        }
    }

    /// Brings the faults about until told to end; gives the system back.
    ///
    /// # Errors
    /// Fails when a fault can't be brought about, or when an entry host does not stop cleanly.
    pub fn run(&self, mut system: System, start: Instant, done: &AtomicBool) -> anyhow::Result<System> {
        let mut next = self.faults.iter().peekable();
        let mut billed = false;
        system.fleet.open_bill();
        while !done.load(Ordering::Relaxed) {
            if let Some((_, fault)) = next.next_if(|(at, _)| start.elapsed() >= *at) {
                bring_about(&mut system, *fault)?;
                continue;
            }
            if !billed && start.elapsed() >= self.length {
                // Hosts are paid for the time of the arrivals: one late answer must not change what all the others cost.
                system.fleet.close_bill();
                billed = true;
            }
            system.tend()?;
            std::thread::sleep(STEP);
        }
        Ok(system)
    }
}

fn bring_about(system: &mut System, fault: Fault) -> anyhow::Result<()> {
    match fault {
        Fault::Freeze(at, frozen) => system.fleet.freeze(at, frozen),
        Fault::Announce(zone) => system.announce(&zone_name(zone), NOTICE),
        Fault::Kill(at) => {
            system.fleet.kill(at);
            Ok(())
        }
        Fault::Return(at) => system.bring_back(at),
        Fault::Restart(at) => system.stop_entry(at),
    }
}
