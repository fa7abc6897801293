//! The threads that follow the state group and read the list of upstreams.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use arc_swap::ArcSwap;
use contract::{NodeId, Revision};
use jsonrpsee::core::ClientError;
use metrics::counter;
use parking_lot::Mutex;
use policy::Tick;
use slog::{Logger, info, warn};
use telemetry::Clock;
use upstream::directory::Directory;
use wire::Envelope;
use wire::catalog::CatalogRpcClient;
use wire::client::RpcRuntime;
use wire::registry::{HeartbeatReply, ListUpdate};
use wire::state::Unavailable;

use crate::catalog_follower::Follower;
use crate::gate::Shared;
use crate::upstream_list::Listing;

/// Longest wait for an answer; a question for changes of the catalog may be held for a while before it.
const PATIENCE: Duration = Duration::from_millis(400);
/// Shortest pause between two beats; news of upstreams come with them. A long prompt is read in 0.2 to 1.6 s, and what others
/// have sent must be known before it is over: in the replay of `worst_load` 157 answers are late or pause at 0.2 s, 190 at 0.4.
const BEAT: Duration = Duration::from_millis(150);
/// Pause between two beats of an entry host that has not been told its part, or its list to the end: callers wait for them.
const UNTOLD: Duration = Duration::from_millis(50);
/// Beats a second that a leader takes from all entry hosts together: a tenth of a small host's processor.
const BEATS_PER_S: f64 = 400.0;
/// Age of the list from which an entry host reads it for itself. Upstreams that leave must get no new work three seconds
/// after the list says so.
const LIST_AGE: Duration = Duration::from_millis(1_900);
/// Pause between two looks at the age of the list.
const LOOK: Duration = Duration::from_millis(200);
/// Pause between two own reads of the list.
const LIST: Duration = Duration::from_secs(1);
/// Share of the list's rate that all entry hosts together use.
const LIST_SHARE: f64 = 0.5;

/// What the threads need.
#[derive(Clone, Debug)]
pub struct StateSync {
    /// Name of this process.
    pub node: NodeId,
    /// Its incarnation.
    pub incarnation: u64,
    /// Inner addresses of state nodes that it was told of.
    pub seeds: Arc<ArcSwap<Vec<SocketAddr>>>,
    /// What the event loop sees.
    pub shared: Arc<Shared>,
    /// The clock.
    pub clock: Clock,
    /// The log.
    pub logger: Logger,
}

/// The state nodes that are known.
#[derive(Debug, Default)]
pub(crate) struct Known {
    /// Those that state nodes name.
    pub(crate) members: BTreeSet<SocketAddr>,
    /// The leader, as it was told last.
    pub(crate) leader: Option<SocketAddr>,
}

impl StateSync {
    /// Starts the threads.
    ///
    /// # Errors
    /// Fails when the operating system refuses a thread.
    pub fn start(&self, directory: Box<dyn Directory>) -> std::io::Result<()> {
        let calls = RpcRuntime::start(1, PATIENCE)?;
        let known = Arc::new(Mutex::new(Known::default()));
        let spawn = |name: &str, work: Box<dyn FnOnce() + Send>| {
            thread::Builder::new().name(name.to_owned()).spawn(work).map(drop)
        };
        let follower = Follower::new(self.clone(), calls.clone(), Arc::clone(&known));
        spawn("follow", Box::new(move || follower.run()))?;
        let link = self.clone();
        spawn("beat", Box::new(move || link.beat(&calls, &known)))?;
        let link = self.clone();
        spawn("list", Box::new(move || link.list(directory)))
    }

    /// Gives the addresses of all state nodes that are known.
    pub(crate) fn nodes(&self, known: &Mutex<Known>) -> BTreeSet<SocketAddr> {
        let mut nodes = known.lock().members.clone();
        nodes.extend(self.seeds.load().iter().copied());
        nodes
    }

    fn peer(&self, known: &Mutex<Known>, at: usize) -> Option<SocketAddr> {
        let peers = self.nodes(known);
        let count = peers.len();
        peers.into_iter().nth(at.checked_rem(count)?)
    }

    /// Gives the version in force; zero for none.
    pub(crate) fn version(&self) -> u64 {
        let table = self.shared.table.load();
        table.as_ref().map_or(0, |table| table.version())
    }

    /// Tells the leader what this entry host has seen, and learns its parts of the limits.
    fn beat(&self, calls: &RpcRuntime, known: &Mutex<Known>) {
        let mut at = self.incarnation as usize;
        let mut client = None;
        let mut told = true;
        let mut listing = Listing::default();
        let mut handed = None;
        loop {
            thread::sleep(self.beat_pause(&listing));
            let leader = known.lock().leader;
            let Some(peer) = leader.or_else(|| self.peer(known, at)) else {
                continue;
            };
            if client.as_ref().is_none_or(|(open, _)| *open != peer) {
                client = calls.client(peer, Duration::ZERO).ok().map(|opened| (peer, opened));
            }
            let Some((_, open)) = &client else {
                continue;
            };
            let mut beat = self.shared.beat.lock().clone();
            beat.run = self.incarnation;
            listing.ask(&mut beat);
            let asked = self.clock.now();
            let error = match calls.wait(open.beat(Envelope::new(&self.node, Revision(self.version()), beat))) {
                Ok(answer) => match answer.body {
                    HeartbeatReply::News(news) => {
                        let parts = news.parts;
                        self.shared.hear_newest(news.version, asked);
                        *self.shared.signs.lock() = Some((news.signs, self.clock.now()));
                        let took = self.clock.now().since(asked);
                        self.take_list(&mut listing, news.list, &mut handed, took);
                        self.shared.leader.store(Arc::new(Some(peer)));
                        if !told {
                            info!(self.logger, "parts of limits are told again"; "peer" => %peer, "entries" => parts.entries);
                        }
                        told = true;
                        self.shared.parts.store(Arc::new(Some(parts)));
                        continue;
                    }
                    HeartbeatReply::Unavailable(why) => {
                        known.lock().leader = match &why {
                            Unavailable::NotLeader { leader } => *leader,
                            _ => Some(peer),
                        };
                        why.to_string()
                    }
                },
                Err(error) => {
                    if matches!(error, ClientError::RequestTimeout) {
                        listing.lose_page();
                    }
                    known.lock().leader = None;
                    error.to_string()
                }
            };
            if told {
                warn!(self.logger, "no parts of limits are told"; "peer" => %peer, "step" => "beat", "error" => error);
            }
            told = false;
            at += 1;
        }
    }

    fn beat_pause(&self, listing: &Listing) -> Duration {
        if self.shared.parts.load().is_none() || listing.is_arriving() {
            return UNTOLD;
        }
        BEAT.max(Duration::from_secs_f64(f64::from(self.entries()) / BEATS_PER_S))
    }

    fn entries(&self) -> u32 {
        let parts = self.shared.parts.load();
        (**parts).map_or(1, |parts| parts.entries)
    }

    /// Takes over news of the list. `handed` is when the list that the event loop got last from here was asked for.
    fn take_list(&self, listing: &mut Listing, news: ListUpdate, handed: &mut Option<Tick>, took: Duration) {
        let Some(age_ms) = news.age_ms else {
            return;
        };
        let asked = self.clock.now() - Duration::from_millis(age_ms);
        listing.take(news, asked, took);
        let newest = **self.shared.listed.load();
        // An own read may be newer than what the leader has.
        if !listing.is_complete() || newest.is_some_and(|newest| newest > asked) {
            return;
        }
        if listing.take_changed() || newest != *handed {
            *self.shared.list.lock() = Some((listing.list(asked), asked));
        }
        *handed = Some(asked);
        self.shared.listed.store(Arc::new(*handed));
    }

    /// Reads the list of upstreams while no leader tells it.
    fn list(&self, mut directory: Box<dyn Directory>) {
        let mut failed = 0;
        loop {
            let asked = self.clock.now();
            let listed = **self.shared.listed.load();
            if listed.is_some_and(|listed| asked.since(listed) < LIST_AGE) {
                thread::sleep(LOOK);
                continue;
            }
            match directory.read() {
                Ok(list) => {
                    if failed > 0 {
                        info!(self.logger, "list of upstreams is read again"; "tries" => failed);
                    }
                    failed = 0;
                    *self.shared.list.lock() = Some((list, asked));
                    self.shared.listed.store(Arc::new(Some(asked)));
                }
                Err(error) => {
                    if failed == 0 {
                        warn!(self.logger, "list of upstreams can't be read"; "step" => "list", "error" => error);
                    }
                    counter!("gentian_gateway_list_failed_total").increment(1);
                    failed += 1;
                }
            }
            thread::sleep(self.list_pause(directory.rate()));
        }
    }

    fn list_pause(&self, rate: f64) -> Duration {
        let even = f64::from(self.entries()) / (rate * LIST_SHARE).max(0.1);
        // Processes that start together would ask together for ever.
        let jitter = 0.9 + 0.2 * rand::random::<f64>();
        LIST.max(Duration::from_secs_f64(even)).mul_f64(jitter)
    }
}
