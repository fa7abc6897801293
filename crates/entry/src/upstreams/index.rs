//! The upstreams by target and by id, rebuilt for each revision of the configuration.

use std::collections::HashMap;
use std::sync::Arc;

use contract::{DataCenter, HostId, Revision, UpstreamId, UpstreamSpec};
use parking_lot::Mutex;
use policy::route::{GroupMember, ServiceRates, Target, UpstreamGroup};
use xxhash_rust::xxh3::xxh3_64;

use super::state::UpstreamState;
use crate::active_config::ConfigView;

/// The upstreams of one configuration revision.
#[derive(Debug, Default)]
pub(super) struct UpstreamIndex {
    pub(super) revision: Revision,
    pub(super) pools: HashMap<Target, TargetPool>,
    pub(super) upstreams: HashMap<UpstreamId, Upstream>,
    /// Upstreams by the 32-bit key that digests carry.
    pub(super) keys: HashMap<u32, UpstreamId>,
}

/// All upstreams that serve one model or service.
#[derive(Clone, Debug)]
pub(super) struct TargetPool {
    pub(super) group: Arc<UpstreamGroup>,
    pub(super) upstreams: Arc<Vec<Upstream>>,
    pub(super) rates: Arc<Mutex<ServiceRates>>,
}

/// One upstream: its specification, its runtime state and the rates of its target.
#[derive(Clone, Debug)]
pub(super) struct Upstream {
    pub(super) spec: Arc<UpstreamSpec>,
    pub(super) state: Arc<UpstreamState>,
    pub(super) rates: Arc<Mutex<ServiceRates>>,
}

/// Issues the numbers of upstreams.
#[derive(Debug, Default)]
pub(super) struct NumberSource {
    next: u32,
}

impl UpstreamIndex {
    /// Builds the index of a configuration view; the state of an upstream is kept as long as its host and address are
    /// the same.
    pub(super) fn rebuild(&self, view: &ConfigView, data_center: &DataCenter, numbers: &mut NumberSource) -> Self {
        let mut by_target: HashMap<Target, Vec<Upstream>> = HashMap::new();
        for spec in view.config.upstreams.values() {
            let target = Target::of(spec);
            let rates = self.pools.get(&target).map(|pool| Arc::clone(&pool.rates));
            let rates = rates.or_else(|| Some(Arc::clone(&by_target.get(&target)?.first()?.rates)));
            let upstream = Upstream {
                spec: Arc::new(spec.clone()),
                state: self.state_for(spec, numbers),
                rates: rates.unwrap_or_default(),
            };
            by_target.entry(target).or_default().push(upstream);
        }
        let upstreams = by_target.values().flatten();
        let upstreams: HashMap<UpstreamId, Upstream> = upstreams
            .map(|upstream| (upstream.spec.id.clone(), upstream.clone()))
            .collect();
        let keys = upstreams.keys().map(|id| (digest_key(id), id.clone())).collect();
        let pools = by_target.into_iter().map(|(target, upstreams)| {
            let pool = self.pool_for(&target, upstreams, data_center);
            (target, pool)
        });
        Self {
            revision: view.config.revision,
            pools: pools.collect(),
            upstreams,
            keys,
        }
    }

    fn state_for(&self, spec: &UpstreamSpec, numbers: &mut NumberSource) -> Arc<UpstreamState> {
        let previous = self.upstreams.get(&spec.id);
        let unchanged = previous.filter(|upstream| {
            let host = &upstream.spec.host;
            (&host.id, host.incarnation, upstream.spec.address) == (&spec.host.id, spec.host.incarnation, spec.address)
        });
        unchanged.map_or_else(
            || {
                numbers.next += 1;
                Arc::new(UpstreamState::new(numbers.next))
            },
            |upstream| Arc::clone(&upstream.state),
        )
    }

    fn pool_for(&self, target: &Target, upstreams: Vec<Upstream>, data_center: &DataCenter) -> TargetPool {
        let members: Vec<GroupMember> = upstreams
            .iter()
            .map(|upstream| GroupMember {
                number: upstream.state.number,
                id: upstream.spec.id.clone(),
                local: upstream.spec.host.data_center == *data_center,
            })
            .collect();
        let previous = self.pools.get(target).filter(|pool| pool.group.members() == members);
        // Most changes concern contracts, so the tables of rendezvous hashing are rebuilt only for groups that changed.
        let group = previous.map_or_else(|| Arc::new(UpstreamGroup::new(members)), |pool| Arc::clone(&pool.group));
        let rates = upstreams
            .first()
            .map(|upstream| Arc::clone(&upstream.rates))
            .unwrap_or_default();
        TargetPool {
            group,
            upstreams: Arc::new(upstreams),
            rates,
        }
    }

    /// Finds an upstream that runs on a host.
    pub(super) fn upstream_on(&self, host: &HostId) -> Option<&UpstreamSpec> {
        let mut specs = self.upstreams.values().map(|upstream| upstream.spec.as_ref());
        specs.find(|spec| spec.host.id == *host)
    }
}

/// Returns the 32-bit hash by which digests identify an upstream.
#[must_use]
pub(super) fn digest_key(upstream: &UpstreamId) -> u32 {
    xxh3_64(upstream.as_str().as_bytes()) as u32
}
