//! The stand-in fleet of a trial: hosts over four data centres with engines and services on them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use contract::{HostClass, HostSpec, UpstreamId, UpstreamKind, UpstreamSpec};
use rustix::process::Signal;

use super::process::{Place, Process};
use crate::workload::Plan;

/// Engines in the fleet.
pub const ENGINES: usize = 10;
/// Zones, one in each data centre.
pub const ZONES: usize = 4;
/// Requests that an engine runs at once.
const SLOTS: u32 = 6;
const ENGINE: [&str; 10] = [
    "--slots",
    "6",
    "--prefill-us",
    "400",
    "--decode-us",
    "16000",
    "--batch-us",
    "800",
    "--cache-tokens",
    "8192",
];
const SERVICE_SLOTS: u32 = 16;
/// Price of a host that can be reclaimed, in micro-dollars an hour, by zone.
const RECLAIMABLE: [u64; ZONES] = [800_000, 650_000, 900_000, 750_000];
/// Price of a host that is kept.
const ON_DEMAND: [u64; ZONES] = [2_000_000, 1_800_000, 2_200_000, 1_900_000];
/// Price of a host for a service.
const SMALL: u64 = 200_000;

/// A host with its upstream, held from start to end.
#[derive(Debug)]
pub struct Member {
    /// What the system knows of it.
    pub spec: UpstreamSpec,
    process: Option<Process>,
    held: Option<Instant>,
    paid: f64,
}

/// Every host of a trial.
#[derive(Debug)]
pub struct Fleet {
    place: Place,
    model: &'static str,
    /// Members: engines first, then services.
    pub members: Vec<Member>,
}

impl Fleet {
    /// Starts every engine and service.
    ///
    /// # Errors
    /// Fails when a process doesn't start.
    pub fn start(place: &Place, plan: &Plan) -> anyhow::Result<Self> {
        let engines = (0..ENGINES).map(|at| member(at, engine(plan.model), &format!("engine-{at}"), SLOTS));
        let services = plan
            .services
            .iter()
            .flat_map(|(name, count)| (0..*count).map(move |at| (*name, at)));
        let services = services.map(|(name, at)| member(at, service(name), &format!("{name}-{at}"), SERVICE_SLOTS));
        let mut fleet = Self {
            place: place.clone(),
            model: plan.model,
            members: engines.chain(services).collect(),
        };
        for at in 0..fleet.members.len() {
            fleet.spawn(at)?;
        }
        for at in 0..fleet.members.len() {
            fleet.read_address(at)?;
        }
        Ok(fleet)
    }

    /// Starts the process of a member again, on a new host of the same name.
    ///
    /// # Errors
    /// Fails when the process doesn't start.
    pub fn restart(&mut self, at: usize, incarnation: u64) -> anyhow::Result<()> {
        self.members[at].spec.host.incarnation = incarnation;
        self.spawn(at)?;
        self.read_address(at)
    }

    fn spawn(&mut self, at: usize) -> anyhow::Result<()> {
        let member = &mut self.members[at];
        let name = member.spec.id.as_str();
        let record = self.place.file(&format!("{name}.record")).display().to_string();
        let mut args = match &member.spec.kind {
            UpstreamKind::Engine { .. } => vec!["engine", "--checks-fencing", "--model", self.model],
            UpstreamKind::Service { .. } => vec!["service", "--work-ms", "8"],
        };
        if at < ENGINES {
            args.extend(ENGINE);
        }
        args.extend(["--record", &record]);
        let args: Vec<String> = args.into_iter().map(str::to_owned).collect();
        member.process = Some(self.place.start(name, "gentian-standin", &args)?);
        member.held = Some(Instant::now());
        Ok(())
    }

    fn read_address(&mut self, at: usize) -> anyhow::Result<()> {
        let member = &mut self.members[at];
        if let Some(process) = &mut member.process {
            member.spec.address = process.address()?;
        }
        Ok(())
    }

    /// Takes hosts away without a word.
    pub fn kill(&mut self, at: usize) {
        let member = &mut self.members[at];
        member.process = None;
        member.pay();
    }

    /// Stops or continues a process.
    ///
    /// # Errors
    /// Fails when it is gone.
    pub fn freeze(&self, at: usize, frozen: bool) -> anyhow::Result<()> {
        let signal = if frozen { Signal::STOP } else { Signal::CONT };
        self.members[at]
            .process
            .as_ref()
            .map_or(Ok(()), |process| process.signal(signal))
    }

    /// Begins to count what the hosts cost; what their start cost is the same for every policy.
    pub fn open_bill(&mut self) {
        for member in &mut self.members {
            member.paid = 0.0;
            member.held = Some(Instant::now());
        }
    }

    /// Ends counting for every host that is still held.
    pub fn close_bill(&mut self) {
        for member in &mut self.members {
            member.pay();
        }
    }

    /// Gives what the hosts cost between the two, in dollars.
    #[must_use]
    pub fn cost(&self) -> f64 {
        self.members.iter().map(|member| member.paid).sum()
    }
}

impl Member {
    fn pay(&mut self) {
        let held = self.held.take().map_or(Duration::ZERO, |since| since.elapsed());
        self.paid += held.as_secs_f64() / 3_600.0 * self.spec.host.price as f64 / 1e6;
    }
}

/// Gives the name of a zone.
#[must_use]
pub fn zone_name(zone: usize) -> String {
    format!("zone-{}", zone + 1)
}

fn member(at: usize, kind: UpstreamKind, name: &str, slots: u32) -> Member {
    let zone = at % ZONES;
    let is_engine = matches!(kind, UpstreamKind::Engine { .. });
    // About half of the engines' hosts can be reclaimed, whole zones of them.
    let class = if is_engine && zone < 2 {
        HostClass::Reclaimable
    } else {
        HostClass::OnDemand
    };
    let price = match class {
        _ if !is_engine => SMALL,
        HostClass::Reclaimable => RECLAIMABLE[zone],
        HostClass::OnDemand => ON_DEMAND[zone],
    };
    let spec = UpstreamSpec {
        id: UpstreamId::from(name),
        kind,
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        host: HostSpec {
            id: format!("host-{name}").as_str().into(),
            incarnation: 0,
            zone: zone_name(zone).as_str().into(),
            data_center: format!("dc-{}", zone + 1).as_str().into(),
            class,
            price,
        },
        slots,
    };
    Member {
        spec,
        process: None,
        held: None,
        paid: 0.0,
    }
}

fn engine(model: &str) -> UpstreamKind {
    UpstreamKind::Engine {
        model: model.into(),
        checks_fencing: true,
    }
}

fn service(name: &str) -> UpstreamKind {
    UpstreamKind::Service {
        service: name.into(),
        tells_outcome: true,
    }
}
