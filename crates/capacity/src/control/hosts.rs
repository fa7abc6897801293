//! Hosts that are started, drained, stopped and forgotten.

use std::collections::BTreeMap;
use std::time::Duration;

use contract::{Change, Config, HostId};
use metrics::counter;
use policy::Tick;
use slog::{info, warn};
use upstream::Fate;
use upstream::cloud::{CloudHost, StartHost};

use super::{Changes, Control, LIST_LAG};
use crate::lease::Keeper;
use crate::world::{Cloud, is_drained, is_ours, upstream_id};

/// Time without any request after which a drained host is stopped; entry hosts hear of a drain within two seconds.
const IDLE: Duration = Duration::from_secs(4);

impl Control {
    /// Starts a host.
    pub(super) fn start(&mut self, start: StartHost, keeper: &Keeper) {
        if keeper.held().is_none() {
            return;
        }
        match self.cloud.start(&start) {
            Ok(host) => {
                info!(self.logger, "host starts"; "host" => %host.id, "zone" => %host.zone, "for" => &host.tag);
                self.backoff.started(&start.zone, start.class);
                self.pending.push((host, self.clock.now()));
            }
            Err(error) if error.fate == Fate::NotRun => {
                counter!("gentian_starts_refused_total", "zone" => start.zone.to_string()).increment(1);
                self.backoff.refused(&start.zone, start.class, self.clock.now());
            }
            // It may have started: the same token asks for the same host again, so that none is started twice.
            Err(error) => {
                warn!(self.logger, "start is unanswered"; "error" => %error);
                self.unanswered.push(start);
            }
        }
    }

    /// Asks again for the starts whose answer was lost.
    pub(super) fn retry_starts(&mut self, keeper: &Keeper) {
        for start in std::mem::take(&mut self.unanswered) {
            self.start(start, keeper);
        }
    }

    /// Stops drained hosts that are idle and takes hosts that are gone out of the configuration.
    pub(super) fn clear(
        &mut self,
        config: &Config,
        cloud: &Cloud,
        busy: &BTreeMap<HostId, f64>,
        keeper: &Keeper,
        changes: &dyn Changes,
    ) {
        let now = self.clock.now();
        for host in cloud.hosts.iter().filter(|host| is_drained(config, host)) {
            let registered = config.upstreams.contains_key(&upstream_id(host));
            // A registered engine that doesn't answer may be cut off from us alone and still serve callers; stopping its
            // host would cut their answers short.
            let idle = busy.get(&host.id).map_or(!registered, |busy| *busy <= 0.0);
            self.stop_idle(host, idle, now, keeper);
        }
        let listed = |id: &HostId, incarnation| {
            let same = |host: &CloudHost| host.id == *id && host.incarnation == incarnation;
            cloud.hosts.iter().any(same)
        };
        let specs = config.upstreams.values().filter(|spec| is_ours(spec));
        for spec in specs.filter(|spec| !listed(&spec.host.id, spec.host.incarnation)) {
            if self.is_gone(&spec.host.id, now) {
                self.change("forget", Change::DropUpstream(spec.id.clone()), keeper, changes);
            }
        }
        for (host, incarnation) in &config.drains {
            let known = listed(host, *incarnation) || config.upstreams.values().any(|spec| spec.host.id == *host);
            if !known && self.is_gone(host, now) {
                self.change("forget", Change::ForgetDrain(host.clone()), keeper, changes);
            }
        }
        self.missing
            .retain(|host, _| !cloud.hosts.iter().any(|one| one.id == *host));
    }

    /// Tells whether a host was missing from the list for long enough; servers of the API may lag differently.
    fn is_gone(&mut self, host: &HostId, now: Tick) -> bool {
        let since = *self.missing.entry(host.clone()).or_insert(now);
        now.since(since) >= LIST_LAG
    }

    fn stop_idle(&mut self, host: &CloudHost, idle: bool, now: Tick, keeper: &Keeper) {
        if !idle {
            self.idle.remove(&host.id);
            return;
        }
        let since = *self.idle.entry(host.id.clone()).or_insert(now);
        if now.since(since) < IDLE || keeper.held().is_none() {
            return;
        }
        match self.cloud.stop(&host.id) {
            Ok(()) => {
                info!(self.logger, "host is stopped"; "host" => %host.id, "upstream" => %upstream_id(host));
                self.idle.remove(&host.id);
            }
            Err(error) => warn!(self.logger, "host is not stopped"; "error" => %error),
        }
    }
}
