//! Upstreams by what they serve, made once for each revision of the configuration.

use std::collections::HashMap;
use std::sync::Arc;

use contract::{DataCenter, HostId, Revision, UpstreamId, UpstreamSpec};
use parking_lot::Mutex;
use policy::route::{GroupMember, ServiceRates, Target, UpstreamGroup};
use xxhash_rust::xxh3::xxh3_64;

use super::member::Member;
use crate::current::View;

/// Upstreams of one revision.
#[derive(Debug, Default)]
pub(super) struct Index {
    pub(super) revision: Revision,
    pub(super) pools: HashMap<Target, Pool>,
    pub(super) rows: HashMap<UpstreamId, Row>,
    /// Upstreams by the short key that digests carry.
    pub(super) keys: HashMap<u32, UpstreamId>,
}

/// Everything that serves one model or service.
#[derive(Clone, Debug)]
pub(super) struct Pool {
    pub(super) group: Arc<UpstreamGroup>,
    pub(super) rows: Arc<Vec<Row>>,
    pub(super) rates: Arc<Mutex<ServiceRates>>,
}

/// One upstream.
#[derive(Clone, Debug)]
pub(super) struct Row {
    pub(super) spec: Arc<UpstreamSpec>,
    pub(super) member: Arc<Member>,
    pub(super) rates: Arc<Mutex<ServiceRates>>,
}

/// Numbers that were given to upstreams.
#[derive(Debug, Default)]
pub(super) struct Numbers {
    next: u32,
}

impl Index {
    /// Makes the index of a view; what is known of an upstream is kept as long as its host is the same.
    pub(super) fn next(&self, view: &View, place: &DataCenter, numbers: &mut Numbers) -> Self {
        let mut by_target: HashMap<Target, Vec<Row>> = HashMap::new();
        for spec in view.config.upstreams.values() {
            let target = Target::of(spec);
            let rates = self.pools.get(&target).map(|pool| Arc::clone(&pool.rates));
            let rates = rates.or_else(|| Some(Arc::clone(&by_target.get(&target)?.first()?.rates)));
            let row = Row {
                spec: Arc::new(spec.clone()),
                member: self.member(spec, numbers),
                rates: rates.unwrap_or_default(),
            };
            by_target.entry(target).or_default().push(row);
        }
        let rows = by_target.values().flatten();
        let rows: HashMap<UpstreamId, Row> = rows.map(|row| (row.spec.id.clone(), row.clone())).collect();
        let keys = rows.keys().map(|id| (short_key(id), id.clone())).collect();
        let pools = by_target.into_iter().map(|(target, rows)| {
            let pool = self.pool(&target, rows, place);
            (target, pool)
        });
        Self {
            revision: view.config.revision,
            pools: pools.collect(),
            rows,
            keys,
        }
    }

    fn member(&self, spec: &UpstreamSpec, numbers: &mut Numbers) -> Arc<Member> {
        let before = self.rows.get(&spec.id);
        let same = before.filter(|row| {
            let host = &row.spec.host;
            (&host.id, host.incarnation, row.spec.address) == (&spec.host.id, spec.host.incarnation, spec.address)
        });
        same.map_or_else(
            || {
                numbers.next += 1;
                Arc::new(Member::new(numbers.next))
            },
            |row| Arc::clone(&row.member),
        )
    }

    fn pool(&self, target: &Target, rows: Vec<Row>, place: &DataCenter) -> Pool {
        let places: Vec<GroupMember> = rows
            .iter()
            .map(|row| GroupMember {
                number: row.member.number,
                id: row.spec.id.clone(),
                near: row.spec.host.data_center == *place,
            })
            .collect();
        let before = self.pools.get(target).filter(|pool| pool.group.members() == places);
        // Most changes are of contracts; the tables of rendezvous hashing are only made anew where a group changed.
        let group = before.map_or_else(|| Arc::new(UpstreamGroup::new(places)), |pool| Arc::clone(&pool.group));
        let rates = rows.first().map(|row| Arc::clone(&row.rates)).unwrap_or_default();
        Pool {
            group,
            rows: Arc::new(rows),
            rates,
        }
    }

    /// Finds the zone of a host.
    pub(super) fn host(&self, host: &HostId) -> Option<&UpstreamSpec> {
        let mut specs = self.rows.values().map(|row| row.spec.as_ref());
        specs.find(|spec| spec.host.id == *host)
    }
}

/// Gives the key by which digests name an upstream.
#[must_use]
pub(super) fn short_key(upstream: &UpstreamId) -> u32 {
    xxh3_64(upstream.as_str().as_bytes()) as u32
}
