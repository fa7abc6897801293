//! Test helpers: a cloud stand-in within the test process, a fake state group, and a capacity process on a mock clock.
#![allow(dead_code, reason = "each test file uses other helpers")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use argh::FromArgs;
use capacity::cli::Options;
use capacity::control::{ConfigStore, Controller};
use capacity::lease::{LeaseKeeper, LeaseService};
use capacity::settings::Settings;
use contract::settings::SettingsReader;
use contract::{
    Account, Change, ChangeRecord, Class, Config, Contract, CustomerLimits, KeyHash, Matcher, NodeId, RetrySafety,
    Targets,
};
use parking_lot::Mutex;
use quanta::Mock;
use slog::{Discard, Logger, o};
use standin::cli::CloudOptions;
use standin::cloud;
use telemetry::Clock;
use wire::state::{Lease, Leased, Propose, Proposed};

/// Limit on the rounds that a test waits for a condition, so that it fails instead of hanging.
const MAX_ROUNDS: usize = 2_000;

/// A fake state group: one configuration and one lease, which expires only when the test says so.
#[derive(Debug, Default)]
pub struct FakeGroup {
    pub config: Mutex<Config>,
    lease: Mutex<(Option<NodeId>, u64)>,
}

impl ConfigStore for FakeGroup {
    fn propose(&self, proposal: &Propose) -> Option<Proposed> {
        let mut config = self.config.lock();
        if let Err(problems) = proposal.change.validate() {
            return Some(Proposed::Invalid(problems.to_string()));
        }
        let revision = config.revision.next();
        config.apply(&ChangeRecord {
            revision,
            id: proposal.id.clone(),
            operator: proposal.operator.clone(),
            change: proposal.change.clone(),
        });
        Some(Proposed::Accepted(revision))
    }
}

impl LeaseService for FakeGroup {
    fn lease(&self, request: &Lease) -> Option<Leased> {
        let mut lease = self.lease.lock();
        let (holder, token) = &mut *lease;
        if let Some(by) = holder.clone().filter(|by| *by != request.holder) {
            return Some(Leased::Taken { by });
        }
        if request.ttl_ms == 0 {
            *holder = None;
            return Some(Leased::Released);
        }
        if holder.is_none() {
            *token += 1;
            *holder = Some(request.holder.clone());
        }
        Some(Leased::Held { token: *token })
    }
}

impl FakeGroup {
    pub fn with_config(config: Config) -> Self {
        Self {
            config: Mutex::new(config),
            ..Self::default()
        }
    }

    /// Expires the lease, as when its holder has stopped.
    pub fn expire_lease(&self) {
        self.lease.lock().0 = None;
    }

    /// Applies a change as an operator.
    pub fn apply_change(&self, change: Change) {
        let proposal = Propose {
            id: "operator-1".into(),
            base: None,
            operator: "operator".to_owned(),
            change,
        };
        self.propose(&proposal);
    }
}

/// One capacity process on a clock of its own.
pub struct Process {
    pub controller: Controller,
    pub keeper: LeaseKeeper,
    clock: Arc<Mock>,
}

impl Process {
    /// Creates a process with 10 slots a host, whose settings name no reachable state nodes or entry hosts.
    pub fn start(name: &str, cloud: SocketAddr, options: Options) -> Self {
        let unused_address = || Some("127.0.0.1:1".to_owned());
        let options = Options {
            node: Some(name.to_owned()),
            cloud: Some(cloud.to_string()),
            state: unused_address(),
            entries: unused_address(),
            slots: Some("10".to_owned()),
            ..options
        };
        let settings = Settings::read(&options, &mut SettingsReader::default()).unwrap();
        let (clock, mock) = Clock::mock();
        Self {
            controller: Controller::new(settings, clock.clone(), Logger::root(Discard, o!())),
            keeper: LeaseKeeper::new(clock, NodeId::from(name)),
            clock: mock,
        }
    }

    /// Advances the process's clock by half a second, renews the lease and runs one round.
    pub fn round(&mut self, state: &FakeGroup) {
        self.clock.increment(Duration::from_millis(500));
        self.keeper.renew(state);
        let config = state.config.lock().clone();
        self.controller.round(&config, &self.keeper, state);
        std::thread::sleep(Duration::from_millis(5));
    }

    /// Runs rounds until a condition on the configuration holds.
    pub fn run_until(&mut self, state: &FakeGroup, holds: impl Fn(&Config) -> bool) {
        for _ in 0..MAX_ROUNDS {
            if holds(&state.config.lock()) {
                return;
            }
            self.round(state);
        }
        panic!(
            "condition not met after {MAX_ROUNDS} rounds: {:?}",
            self.controller.report()
        );
    }
}

/// Starts a cloud stand-in without list lag, whose hosts start in 10 ms.
pub fn start_cloud(flags: &[&str]) -> standin::Running {
    let engine = "--model none --lag-ms 0 --decode-us 20000";
    let base = ["--lag-ms", "0", "--start-ms", "10", "--engine", engine];
    let flags: Vec<&str> = base.iter().chain(flags).copied().collect();
    cloud::start(&CloudOptions::from_args(&["cloud"], &flags).unwrap()).unwrap()
}

/// Flags for three zones with 20 hosts of each class, reclaimable ones being cheaper.
pub const POOL_FLAGS: [&str; 12] = [
    "--pool",
    "zone-a:reclaimable:100:20",
    "--pool",
    "zone-b:reclaimable:101:20",
    "--pool",
    "zone-c:reclaimable:102:20",
    "--pool",
    "zone-a:on_demand:300:20",
    "--pool",
    "zone-b:on_demand:301:20",
    "--pool",
    "zone-c:on_demand:302:20",
];

/// Creates a configuration with one contract, which is for model `m`.
pub fn contract_config(concurrency: u32) -> Config {
    let contract = Contract {
        customer: "mwangaza".into(),
        accounts: vec![Account {
            name: "gate".into(),
            key_hash: KeyHash::of("key"),
        }],
        limits: CustomerLimits {
            requests_per_s: 100.0,
            tokens_per_s: 1_000.0,
            concurrency,
        },
        share: 1,
        classes: vec![Class {
            name: "all".into(),
            matches: Matcher {
                model: Some("m".into()),
                ..Matcher::default()
            },
            targets: Targets {
                first_token_ms: None,
                between_tokens_ms: None,
                whole_answer_ms: 10_000,
            },
            repeat: RetrySafety::Idempotent,
            shed: 0,
        }],
    };
    Config {
        contracts: [(contract.customer.clone(), contract)].into(),
        ..Config::default()
    }
}

/// Sends a JSON body to a stand-in.
pub fn post(address: SocketAddr, path: &str, body: &str) -> String {
    let mut answer = ureq::post(format!("http://{address}{path}")).send(body).unwrap();
    answer.body_mut().read_to_string().unwrap()
}

/// Reads a stand-in's record of the calls that it received.
pub fn standin_report(address: SocketAddr) -> serde_json::Value {
    let mut answer = ureq::get(format!("http://{address}/_standin/seen")).call().unwrap();
    serde_json::from_str(&answer.body_mut().read_to_string().unwrap()).unwrap()
}
