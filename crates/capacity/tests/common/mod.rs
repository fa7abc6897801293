//! What the tests of capacity share: a cloud in this process, a configuration and a lease that the test holds.
#![allow(dead_code, reason = "each test file uses its own part")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use argh::FromArgs;
use capacity::cli::Options;
use capacity::control::{Changes, Control};
use capacity::lease::{Grants, Keeper};
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

/// Most rounds until anything must have happened; only there so that a test can't hang.
const PATIENCE: usize = 2_000;

/// The replicated state, reduced to what capacity needs of it.
#[derive(Debug, Default)]
pub struct State {
    pub config: Mutex<Config>,
    lease: Mutex<(Option<NodeId>, u64)>,
}

impl Changes for State {
    fn propose(&self, ask: &Propose) -> Option<Proposed> {
        let mut config = self.config.lock();
        if let Err(problems) = ask.change.validate() {
            return Some(Proposed::Invalid(problems.to_string()));
        }
        let revision = config.revision.next();
        config.apply(&ChangeRecord {
            revision,
            id: ask.id.clone(),
            operator: ask.operator.clone(),
            change: ask.change.clone(),
        });
        Some(Proposed::Accepted(revision))
    }
}

impl Grants for State {
    fn lease(&self, ask: &Lease) -> Option<Leased> {
        let mut lease = self.lease.lock();
        let (holder, token) = &mut *lease;
        if let Some(by) = holder.clone().filter(|by| *by != ask.holder) {
            return Some(Leased::Taken { by });
        }
        if ask.ttl_ms == 0 {
            *holder = None;
            return Some(Leased::Released);
        }
        if holder.is_none() {
            *token += 1;
            *holder = Some(ask.holder.clone());
        }
        Some(Leased::Held { token: *token })
    }
}

impl State {
    pub fn with(config: Config) -> Self {
        Self {
            config: Mutex::new(config),
            ..Self::default()
        }
    }

    /// Lets the lease of a process that is gone run out.
    pub fn expire(&self) {
        self.lease.lock().0 = None;
    }

    pub fn change(&self, change: Change) {
        let ask = Propose {
            id: "operator-1".into(),
            base: None,
            operator: "operator".to_owned(),
            change,
        };
        self.propose(&ask);
    }
}

/// One capacity process.
pub struct Process {
    pub control: Control,
    pub keeper: Keeper,
    clock: Arc<Mock>,
}

impl Process {
    pub fn start(name: &str, cloud: SocketAddr, options: Options) -> Self {
        let text = || Some("127.0.0.1:1".to_owned());
        let options = Options {
            node: Some(name.to_owned()),
            cloud: Some(cloud.to_string()),
            state: text(),
            entries: text(),
            slots: Some("10".to_owned()),
            ..options
        };
        let settings = Settings::read(&options, &mut SettingsReader::default()).unwrap();
        let (clock, mock) = Clock::mock();
        Self {
            control: Control::new(settings, clock.clone(), Logger::root(Discard, o!())),
            keeper: Keeper::new(clock, NodeId::from(name)),
            clock: mock,
        }
    }

    /// Lets half a second pass for this process and makes a round.
    pub fn round(&mut self, state: &State) {
        self.clock.increment(Duration::from_millis(500));
        self.keeper.renew(state);
        let config = state.config.lock().clone();
        self.control.round(&config, &self.keeper, state);
        std::thread::sleep(Duration::from_millis(5));
    }

    /// Makes rounds until something holds.
    pub fn until(&mut self, state: &State, holds: impl Fn(&Config) -> bool) {
        for _ in 0..PATIENCE {
            if holds(&state.config.lock()) {
                return;
            }
            self.round(state);
        }
        panic!("never came: {:?}", self.control.report());
    }
}

pub fn start_cloud(flags: &[&str]) -> standin::Running {
    let engine = "--model none --lag-ms 0 --decode-us 20000";
    let base = ["--lag-ms", "0", "--start-ms", "10", "--engine", engine];
    let flags: Vec<&str> = base.iter().chain(flags).copied().collect();
    cloud::start(&CloudOptions::from_args(&["cloud"], &flags).unwrap()).unwrap()
}

pub const POOLS: [&str; 12] = [
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

/// Makes a configuration with one contract for a model.
pub fn config(concurrency: u32) -> Config {
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

/// Reads what a stand-in did.
pub fn seen(address: SocketAddr) -> serde_json::Value {
    let mut answer = ureq::get(format!("http://{address}/_standin/seen")).call().unwrap();
    serde_json::from_str(&answer.body_mut().read_to_string().unwrap()).unwrap()
}
