//! Finds out at which version a stream began that a caller goes on with, and tells state nodes where streams begin.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use contract::{ClientAccount, Fingerprint, RetryMode, Revision, Route, ServiceName, StreamOrigin};
use derive_more::Display;
use metrics::counter;
use policy::Tick;
use policy::origins::{ASKED, HOMES, StreamOrigins, VersionPicture, VersionVerdict, home_nodes};
use slog::{info, warn};
use tokio::sync::{Notify, mpsc};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use wire::Envelope;
use wire::catalog::CatalogRpcClient;
use wire::origins::{AskOrigin, KnownOrigin, TellOrigins};
use xxhash_rust::xxh3::xxh3_64;

use crate::dialect::RequestInfo;
use crate::gate::Gateway;
use crate::node_clients::NodeClients;
use crate::request::Request;

/// Longest wait for a state node. Data centres are a few milliseconds apart, and the caller waits meanwhile.
const CALL_TIMEOUT: Duration = Duration::from_millis(120);
/// Time for which streams that begin are collected before nodes are told of them.
const BATCH_TIME: Duration = Duration::from_millis(5);
/// Calls to tell a node of streams, and the pause between two; a node that was restarted answers within seconds.
const MAX_TELLS: usize = 8;
const TELL_AGAIN: Duration = Duration::from_millis(500);
/// Wait before nodes that don't know a stream are asked again: they may just be told of it.
const ASK_AGAIN: Duration = Duration::from_millis(40);
/// Longest wait for a list that is newer than a stream, where no state node tells which versions there were, and the
/// interval at which it is looked for.
const MAX_LIST_WAIT: Duration = Duration::from_millis(1_200);
const LIST_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Age of the list up to which a newer one may come in that time.
const MAX_AWAITED_AGE: Duration = Duration::from_millis(2_500);
/// Answers of nodes that don't know a stream after which it was told to none: more than were not told.
const ENOUGH_ANSWERS: usize = ASKED - HOMES + 1;

/// Exchanges origins of streams with state nodes.
#[derive(Debug, Default)]
pub(crate) struct OriginClient {
    clients: NodeClients,
    /// Streams that began on this host, or that it has found out about.
    own: RefCell<StreamOrigins>,
    untold: RefCell<Vec<(Fingerprint, StreamOrigin)>>,
    has_untold: Notify,
    /// Start of each node that was told of streams.
    runs: RefCell<HashMap<SocketAddr, u64>>,
}

/// Why a caller can't go on with a stream.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum NotResumed {
    /// Nobody knows at which version it began, and there are several.
    #[display("the version at which the stream began is not known")]
    Unknown,
    /// Nobody knows at which version it began, and this host may have missed versions.
    #[display("the versions since the stream began are not known")]
    Missed,
    /// The route does not lead to the service at which it began any more.
    #[display("the service at which the stream began is not on the route")]
    OtherService,
}

impl NotResumed {
    const fn label(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Missed => "missed",
            Self::OtherService => "other_service",
        }
    }
}

/// What was found out about a stream.
#[derive(Debug)]
struct Found {
    origin: Option<StreamOrigin>,
    /// Where the origin was found.
    known: &'static str,
    /// What is known of the versions if the origin is not.
    picture: VersionPicture,
}

impl Gateway {
    /// Returns where the stream must run that a request goes on with; `None` if it begins one, or if no upstream is known.
    ///
    /// # Errors
    /// Fails if the stream must not go on anywhere.
    pub(crate) async fn find_origin(
        &self,
        info: &RequestInfo,
        account: Option<&ClientAccount>,
        (route, service): (&Route, &ServiceName),
    ) -> Result<Option<StreamOrigin>, NotResumed> {
        if info.last_event.is_none() || route.repeat != RetryMode::ResumableStream {
            return Ok(None);
        }
        let begun = self.clock.now();
        self.apply_list();
        let named = info.began_as.as_deref().map(|id| stream_key(account, id));
        let Found { origin, known, picture } = self.look_up(named.as_ref(), service, begun).await;
        let now = self.clock.now();
        let is_elsewhere = |origin: &StreamOrigin| !route.split.iter().any(|part| part.service == origin.service);
        let found = match (origin, picture.judge()) {
            (Some(origin), _) if is_elsewhere(&origin) => Err(NotResumed::OtherService),
            (Some(origin), _) => Ok(Some(origin)),
            (None, VersionVerdict::One) => {
                let stream = named.unwrap_or_else(|| stream_key(account, &info.id));
                Ok(self.record_only_version(stream, service))
            }
            (None, VersionVerdict::Several) => Err(NotResumed::Unknown),
            (None, VersionVerdict::Unknown) => Err(NotResumed::Missed),
        };
        let version = found.as_ref().ok().and_then(Option::as_ref);
        let list_age = (**self.shared.list_time.load()).map(|list_time| now.since(list_time));
        info!(self.logger, "stream is taken up"; "request" => info.log_id(), "began_as" => info.log_began_as(),
            "after" => info.last_event, "version" => version.map(|origin| origin.version.as_str()), "known" => known,
            "mixed" => picture.mixed, "list_age_ms" => list_age.map(|age| age.as_millis() as u64),
            "told_age_ms" => picture.nodes.map(|at| begun.since(at).as_millis() as u64),
            "up_ms" => now.since(Tick::default()).as_millis() as u64, "error" => found.as_ref().err().map(ToString::to_string),
            "took_ms" => now.since(begun).as_millis() as u64);
        if let Err(reason) = &found {
            counter!("gentian_gateway_streams_not_resumed_total", "service" => service.to_string(),
                "reason" => reason.label())
            .increment(1);
        }
        found
    }

    /// Looks for the origin of a stream on this host, then at state nodes. A stream that nobody knows may have begun at a
    /// version that this host has not heard of, so nodes are also asked which versions there were.
    async fn look_up(&self, stream: Option<&Fingerprint>, service: &ServiceName, arrived: Tick) -> Found {
        let own = stream.and_then(|stream| self.origins.own.borrow().get(stream, arrived).cloned());
        let mut picture = VersionPicture {
            arrived,
            ..VersionPicture::default()
        };
        let found = |origin, known, picture| Found { origin, known, picture };
        if own.is_some() {
            return found(own, "here", picture);
        }
        for pause in [Duration::ZERO, ASK_AGAIN] {
            sleep(pause).await;
            let told = self.ask_nodes(stream, service, &mut picture).await;
            if let (Some(stream), Some(origin)) = (stream, &told) {
                self.origins.own.borrow_mut().record(*stream, origin, arrived);
                return found(told, "told", picture);
            }
            self.renew_picture(&mut picture, service);
            if picture.judge() == VersionVerdict::One {
                return found(None, "one version", picture);
            }
        }
        while picture.judge() == VersionVerdict::Unknown && self.awaits_list(arrived) {
            self.shared.list_wanted.store(true, Ordering::Relaxed);
            sleep(LIST_POLL_INTERVAL).await;
            self.renew_picture(&mut picture, service);
        }
        let known = match picture.judge() {
            VersionVerdict::One => "one version",
            _ => "nowhere",
        };
        found(None, known, picture)
    }

    /// Returns whether a list that is newer than a request may still come in time.
    fn awaits_list(&self, arrived: Tick) -> bool {
        let complete_at = self.upstreams.borrow().coverage.complete_at();
        let is_read = complete_at.is_some_and(|at| arrived.since(at) < MAX_AWAITED_AGE);
        is_read && self.clock.now().since(arrived) < MAX_LIST_WAIT
    }

    /// Brings what this host itself knows of versions up to date.
    fn renew_picture(&self, picture: &mut VersionPicture, service: &ServiceName) {
        self.apply_list();
        let upstreams = self.upstreams.borrow();
        picture.mixed = upstreams.is_mixed(service, self.clock.now());
        picture.list = upstreams.coverage.complete_at();
    }

    /// Returns the only version of a service as the origin of a stream that nobody knows: the list may bring another one
    /// before the stream goes on.
    fn record_only_version(&self, stream: Fingerprint, service: &ServiceName) -> Option<StreamOrigin> {
        let now = self.clock.now();
        let upstreams = self.upstreams.borrow();
        let origin = StreamOrigin {
            service: service.clone(),
            version: upstreams.only_version(service, now)?.to_owned(),
        };
        self.origins.own.borrow_mut().record(stream, &origin, now);
        Some(origin)
    }

    /// Asks the state nodes that should know a stream, all at once, also for the versions of its service, which are
    /// recorded. Returns the first origin that is named; otherwise waits until enough nodes have answered.
    async fn ask_nodes(
        &self,
        stream: Option<&Fingerprint>,
        service: &ServiceName,
        picture: &mut VersionPicture,
    ) -> Option<StreamOrigin> {
        let asked = AskOrigin {
            stream: stream.copied().unwrap_or_default(),
            service: Some(service.clone()),
        };
        let sent_at = self.clock.now();
        let (sender, mut answers) = mpsc::unbounded_channel();
        for node in home_nodes(&asked.stream, &self.shared.members.load(), ASKED) {
            let Some(client) = self.origins.clients.get(node) else {
                continue;
            };
            let request = Envelope::new(&self.settings.node, Revision::default(), asked.clone());
            let sender = sender.clone();
            spawn_local(async move {
                let reply = timeout(CALL_TIMEOUT, client.ask_origin(request)).await;
                let result = match &reply {
                    Ok(Ok(_)) => "answered",
                    _ => "failed",
                };
                counter!("gentian_gateway_origins_asked_total", "result" => result).increment(1);
                if let Ok(Ok(reply)) = reply {
                    // Other nodes may have been quicker.
                    let _ = sender.send(reply.body);
                }
            });
        }
        drop(sender);
        let mut answered = 0;
        while let Some(known) = answers.recv().await {
            answered += 1;
            let versions_at = self.record_told_versions(&known, sent_at);
            picture.nodes = picture.nodes.max(versions_at);
            if known.origin.is_some() && stream.is_some() {
                return known.origin;
            }
            self.renew_picture(picture, service);
            if answered >= ENOUGH_ANSWERS && picture.judge() == VersionVerdict::One {
                break;
            }
        }
        None
    }

    /// Records the versions that a node has told; returns the time as of which it knows them, `None` if it knows none.
    fn record_told_versions(&self, known: &KnownOrigin, sent_at: Tick) -> Option<Tick> {
        let Some(age_ms) = known.age_ms else {
            // A node of an earlier release tells versions with the catalog only.
            return **self.shared.versions_at.load();
        };
        let mut upstreams = self.upstreams.borrow_mut();
        upstreams.record_seen_versions(&known.versions, self.clock.now());
        // The answer may have waited while this host stood still.
        (!known.versions.is_empty()).then(|| sent_at - Duration::from_millis(age_ms))
    }

    /// Records where a stream has begun, and has state nodes told if upstreams have several versions.
    pub(crate) fn record_origin(&self, request: &Request) {
        let Some(origin) = request.origin.borrow().clone() else {
            return;
        };
        let id = request
            .info
            .began_as
            .as_deref()
            .filter(|_| request.info.last_event.is_some());
        let stream = stream_key(request.account.as_ref(), id.unwrap_or(&request.info.id));
        let now = self.clock.now();
        let is_new = self.origins.own.borrow_mut().record(stream, &origin, now);
        if is_new && self.upstreams.borrow().is_mixed(&origin.service, now) {
            self.origins.untold.borrow_mut().push((stream, origin));
            self.origins.has_untold.notify_one();
        }
    }

    /// Has state nodes told of all streams that this host remembers.
    pub(crate) fn retell_origins(&self) {
        let now = self.clock.now();
        let own = self.origins.own.borrow();
        let all = own.all(now).map(|(stream, origin, _)| (stream, origin.clone()));
        self.origins.untold.borrow_mut().extend(all);
        self.origins.has_untold.notify_one();
    }

    /// Tells state nodes of streams as they begin, several at a time.
    pub(crate) async fn tell_origins(self: Rc<Self>) {
        loop {
            self.origins.has_untold.notified().await;
            sleep(BATCH_TIME).await;
            let untold = self.origins.untold.take();
            let members = self.shared.members.load();
            let mut by_node: HashMap<SocketAddr, Vec<(Fingerprint, StreamOrigin)>> = HashMap::new();
            for (stream, origin) in untold {
                for node in home_nodes(&stream, &members, HOMES) {
                    by_node.entry(node).or_default().push((stream, origin.clone()));
                }
            }
            for (node, streams) in by_node {
                // A node that does not answer must not delay what others are told.
                spawn_local(Rc::clone(&self).tell_node(node, streams));
            }
        }
    }

    /// Tells a node of streams, again if it does not answer.
    async fn tell_node(self: Rc<Self>, node: SocketAddr, streams: Vec<(Fingerprint, StreamOrigin)>) {
        let count = streams.len();
        let told = TellOrigins { streams };
        for _ in 0..MAX_TELLS {
            let Some(client) = self.origins.clients.get(node) else {
                break;
            };
            let request = Envelope::new(&self.settings.node, Revision::default(), told.clone());
            if let Ok(Ok(reply)) = timeout(CALL_TIMEOUT, client.tell_origins(request)).await {
                self.record_run(node, reply.body.run);
                return;
            }
            self.origins.clients.forget(node);
            sleep(TELL_AGAIN).await;
        }
        counter!("gentian_gateway_origins_untold_total").increment(count as u64);
        warn!(self.logger, "origins of streams not told"; "peer" => %node, "streams" => count);
    }

    /// Has all streams told again if a node was restarted, as it knows none from before.
    fn record_run(&self, node: SocketAddr, run: u64) {
        let before = self.origins.runs.borrow_mut().insert(node, run);
        if before.is_some_and(|before| before != run) {
            info!(self.logger, "origins of streams are told again"; "peer" => %node);
            self.retell_origins();
        }
    }
}

impl Request {
    /// Records at which version the stream began, with its first event.
    pub(crate) fn record_began(&self, gateway: &Gateway) {
        if self.route.repeat != RetryMode::ResumableStream || self.origin.borrow().is_some() {
            return;
        }
        let upstream = self.last_upstream.borrow();
        let Some(upstream) = upstream.as_ref() else {
            return;
        };
        self.origin.replace(Some(StreamOrigin {
            service: self.service.clone(),
            version: upstream.version.clone(),
        }));
        gateway.record_origin(self);
    }
}

/// Returns the key of a stream by the id of the try that began it. The account is part of it, so that an id of another
/// account's request names nothing.
fn stream_key(account: Option<&ClientAccount>, id: &str) -> Fingerprint {
    let account = account.map_or("", |account| &account.name);
    Fingerprint {
        account: xxh3_64(account.as_bytes()),
        content: xxh3_64(id.as_bytes()),
    }
}
