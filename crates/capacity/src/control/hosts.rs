//! Starting hosts, stopping drained ones, and removing those that are gone from the configuration.

use std::collections::BTreeMap;
use std::time::Duration;

use contract::{Change, Config, HostId};
use metrics::counter;
use policy::Tick;
use slog::{info, warn};
use upstream::Fate;
use upstream::cloud::{CloudHost, StartHost};

use super::{ConfigStore, Controller, LIST_LAG};
use crate::inventory::{CloudSnapshot, is_drained, is_managed, upstream_id};
use crate::lease::LeaseKeeper;

/// Time without any request after which a drained host is stopped; entry hosts may go on sending it requests until they
/// learn of the drain, which takes up to two seconds.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

impl Controller {
    /// Starts a host if the lease is held; a refused start closes its zone and class for a while.
    pub(super) fn start(&mut self, start: StartHost, keeper: &LeaseKeeper) {
        if keeper.held().is_none() {
            return;
        }
        match self.cloud.start(&start) {
            Ok(host) => {
                info!(self.logger, "host started"; "host" => %host.id, "zone" => %host.zone, "for" => &host.tag);
                self.backoff.started(&start.zone, start.class);
                self.pending.push((host, self.clock.now()));
            }
            Err(error) if error.fate == Fate::NotRun => {
                counter!("gentian_starts_refused_total", "zone" => start.zone.to_string()).increment(1);
                self.backoff.refused(&start.zone, start.class, self.clock.now());
            }
            // The host may have been started. A repeated call with the same token returns that host and starts no
            // second one.
            Err(error) => {
                warn!(self.logger, "start not answered; repeating it with the same token"; "error" => %error);
                self.unanswered.push(start);
            }
        }
    }

    /// Repeats the starts whose answer was lost.
    pub(super) fn retry_starts(&mut self, keeper: &LeaseKeeper) {
        for start in std::mem::take(&mut self.unanswered) {
            self.start(start, keeper);
        }
    }

    /// Stops drained hosts that are idle, and removes hosts that are gone from the configuration.
    pub(super) fn remove_hosts(
        &mut self,
        config: &Config,
        cloud: &CloudSnapshot,
        loads: &BTreeMap<HostId, f64>,
        keeper: &LeaseKeeper,
        store: &dyn ConfigStore,
    ) {
        let now = self.clock.now();
        for host in cloud.hosts.iter().filter(|host| is_drained(config, host)) {
            let registered = config.upstreams.contains_key(&upstream_id(host));
            // A registered engine that doesn't answer may be unreachable from this process only and still serve
            // callers; stopping its host would break off their answers.
            let idle = loads.get(&host.id).map_or(!registered, |requests| *requests <= 0.0);
            self.stop_idle(host, idle, now, keeper);
        }
        let listed = |id: &HostId, incarnation| {
            let is_same = |host: &CloudHost| host.id == *id && host.incarnation == incarnation;
            cloud.hosts.iter().any(is_same)
        };
        let specs = config.upstreams.values().filter(|spec| is_managed(spec));
        for spec in specs.filter(|spec| !listed(&spec.host.id, spec.host.incarnation)) {
            if self.is_gone(&spec.host.id, now) {
                self.propose_change("forget", Change::DropUpstream(spec.id.clone()), keeper, store);
            }
        }
        for (host, incarnation) in &config.drains {
            let in_use = listed(host, *incarnation) || config.upstreams.values().any(|spec| spec.host.id == *host);
            if !in_use && self.is_gone(host, now) {
                self.propose_change("forget", Change::ForgetDrain(host.clone()), keeper, store);
            }
        }
        self.missing_since
            .retain(|host, _| !cloud.hosts.iter().any(|listed| listed.id == *host));
    }

    /// Returns whether a host has been missing from the cloud's list for long enough to count as gone.
    ///
    /// Servers of the cloud API lag by different times, so that one answer may omit a host that the last one listed.
    fn is_gone(&mut self, host: &HostId, now: Tick) -> bool {
        let since = *self.missing_since.entry(host.clone()).or_insert(now);
        now.since(since) >= LIST_LAG
    }

    /// Stops a drained host once it has been idle for long enough.
    fn stop_idle(&mut self, host: &CloudHost, idle: bool, now: Tick, keeper: &LeaseKeeper) {
        if !idle {
            self.idle_since.remove(&host.id);
            return;
        }
        let since = *self.idle_since.entry(host.id.clone()).or_insert(now);
        if now.since(since) < IDLE_TIMEOUT || keeper.held().is_none() {
            return;
        }
        match self.cloud.stop(&host.id) {
            Ok(()) => {
                info!(self.logger, "host stopped"; "host" => %host.id, "upstream" => %upstream_id(host));
                self.idle_since.remove(&host.id);
            }
            Err(error) => warn!(self.logger, "cloud API did not stop the host"; "error" => %error),
        }
    }
}
