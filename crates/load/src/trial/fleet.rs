//! Fleet of a trial: stand-in engines and services on hosts in four data centres.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use contract::{HostClass, HostSpec, UpstreamId, UpstreamKind, UpstreamSpec};
use rustix::process::Signal;

use super::process::{Launcher, Process};
use crate::workload::Plan;

/// Number of engines in the fleet.
pub const ENGINES: usize = 10;
/// Number of zones, one in each data centre.
pub const ZONES: usize = 4;
/// Concurrent requests of an engine; the same as `--slots` in its flags.
const ENGINE_SLOTS: u32 = 6;
/// Flags of every engine.
const ENGINE_FLAGS: [&str; 10] = [
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
/// Concurrent requests of a service replica.
const SERVICE_SLOTS: u32 = 16;
/// Price of a reclaimable host by zone, in micro-dollars an hour.
const RECLAIMABLE_PRICES: [u64; ZONES] = [800_000, 650_000, 900_000, 750_000];
/// Price of an on-demand host by zone, in micro-dollars an hour.
const ON_DEMAND_PRICES: [u64; ZONES] = [2_000_000, 1_800_000, 2_200_000, 1_900_000];
/// Price of the host of a service replica, in micro-dollars an hour.
const SERVICE_HOST_PRICE: u64 = 200_000;

/// An upstream and its host.
#[derive(Debug)]
pub struct Member {
    /// Description that is registered with the system.
    pub spec: UpstreamSpec,
    process: Option<Process>,
    held_since: Option<Instant>,
    cost_dollars: f64,
}

/// All upstreams of a trial.
#[derive(Debug)]
pub struct Fleet {
    launcher: Launcher,
    model: &'static str,
    /// Members: engines first, then services.
    pub members: Vec<Member>,
}

impl Fleet {
    /// Starts all engines and services.
    ///
    /// # Errors
    /// Fails when a process doesn't start.
    pub fn start(launcher: &Launcher, plan: &Plan) -> anyhow::Result<Self> {
        let engines =
            (0..ENGINES).map(|index| member(index, engine(plan.model), &format!("engine-{index}"), ENGINE_SLOTS));
        let services = plan
            .services
            .iter()
            .flat_map(|(name, count)| (0..*count).map(move |index| (*name, index)));
        let services =
            services.map(|(name, index)| member(index, service(name), &format!("{name}-{index}"), SERVICE_SLOTS));
        let mut fleet = Self {
            launcher: launcher.clone(),
            model: plan.model,
            members: engines.chain(services).collect(),
        };
        for index in 0..fleet.members.len() {
            fleet.spawn(index)?;
        }
        for index in 0..fleet.members.len() {
            fleet.read_address(index)?;
        }
        Ok(fleet)
    }

    /// Restarts the process of a member, as on a new host with the same name.
    ///
    /// # Errors
    /// Fails when the process doesn't start.
    pub fn restart(&mut self, index: usize, incarnation: u64) -> anyhow::Result<()> {
        self.members[index].spec.host.incarnation = incarnation;
        self.spawn(index)?;
        self.read_address(index)
    }

    fn spawn(&mut self, index: usize) -> anyhow::Result<()> {
        let member = &mut self.members[index];
        let name = member.spec.id.as_str();
        let record = self.launcher.file(&format!("{name}.record")).display().to_string();
        let mut args = match &member.spec.kind {
            UpstreamKind::Engine { .. } => vec!["engine", "--checks-fencing", "--model", self.model],
            UpstreamKind::Service { .. } => vec!["service", "--work-ms", "8"],
        };
        if index < ENGINES {
            args.extend(ENGINE_FLAGS);
        }
        args.extend(["--record", &record]);
        let args: Vec<String> = args.into_iter().map(str::to_owned).collect();
        member.process = Some(self.launcher.start(name, "gentian-standin", &args)?);
        member.held_since = Some(Instant::now());
        Ok(())
    }

    fn read_address(&mut self, index: usize) -> anyhow::Result<()> {
        let member = &mut self.members[index];
        if let Some(process) = &mut member.process {
            member.spec.address = process.address()?;
        }
        Ok(())
    }

    /// Kills a member without notice and stops its billing.
    pub fn kill(&mut self, index: usize) {
        let member = &mut self.members[index];
        member.process = None;
        member.add_cost();
    }

    /// Freezes or resumes the process of a member.
    ///
    /// # Errors
    /// Fails when the process can't be signalled.
    pub fn freeze(&self, index: usize, frozen: bool) -> anyhow::Result<()> {
        let signal = if frozen { Signal::STOP } else { Signal::CONT };
        self.members[index]
            .process
            .as_ref()
            .map_or(Ok(()), |process| process.signal(signal))
    }

    /// Starts billing of all hosts. The time of their start is left out, as it is the same for every policy.
    pub fn start_billing(&mut self) {
        for member in &mut self.members {
            member.cost_dollars = 0.0;
            member.held_since = Some(Instant::now());
        }
    }

    /// Stops billing of all hosts that still run.
    pub fn stop_billing(&mut self) {
        for member in &mut self.members {
            member.add_cost();
        }
    }

    /// Returns the cost of all hosts while they were billed, in dollars.
    #[must_use]
    pub fn cost(&self) -> f64 {
        self.members.iter().map(|member| member.cost_dollars).sum()
    }
}

impl Member {
    fn add_cost(&mut self) {
        let held = self.held_since.take().map_or(Duration::ZERO, |start| start.elapsed());
        self.cost_dollars += held.as_secs_f64() / 3_600.0 * self.spec.host.price as f64 / 1e6;
    }
}

/// Returns the name of a zone.
#[must_use]
pub fn zone_name(zone: usize) -> String {
    format!("zone-{}", zone + 1)
}

fn member(index: usize, kind: UpstreamKind, name: &str, slots: u32) -> Member {
    let zone = index % ZONES;
    let is_engine = matches!(kind, UpstreamKind::Engine { .. });
    // About half of the engines are on reclaimable hosts, in the first two zones.
    let class = if is_engine && zone < 2 {
        HostClass::Reclaimable
    } else {
        HostClass::OnDemand
    };
    let price = match class {
        _ if !is_engine => SERVICE_HOST_PRICE,
        HostClass::Reclaimable => RECLAIMABLE_PRICES[zone],
        HostClass::OnDemand => ON_DEMAND_PRICES[zone],
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
        held_since: None,
        cost_dollars: 0.0,
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
