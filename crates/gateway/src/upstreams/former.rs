//! What upstreams have said that are no longer listed.

use std::collections::HashMap;
use std::time::Duration;

use policy::Tick;
use policy::send_gate::{Heard, SendGate};

use super::{Upstream, Upstreams};

/// Time for which it is remembered what an upstream that is no longer listed has said. A list may drop an upstream that
/// the next one names again.
const FORMER_TIME: Duration = Duration::from_mins(10);

/// What is remembered of an upstream that is no longer listed.
#[derive(Debug)]
pub(super) struct FormerUpstream {
    /// Start of the incarnation.
    pub(super) start: u64,
    pub(super) gate: SendGate,
    gone_at: Tick,
}

impl Upstreams {
    /// Keeps what upstreams that are no longer listed have said, and adds them to those that have ended.
    pub(super) fn remember(&mut self, gone: HashMap<String, Upstream>, gone_at: Tick, ended: &mut Vec<String>) {
        self.former
            .retain(|_, former| gone_at.since(former.gone_at) < FORMER_TIME);
        for (id, upstream) in gone {
            ended.push(id.clone());
            let former = FormerUpstream {
                start: upstream.listed.start,
                gate: upstream.gate,
                gone_at,
            };
            self.former.insert(id, former);
        }
    }

    /// Returns what decides whether requests may be sent to an upstream, listed or not; `None` if nothing is known of it.
    pub(crate) fn gate_mut(&mut self, id: &str) -> Option<&mut SendGate> {
        if let Some(upstream) = self.all.get_mut(id) {
            return Some(&mut upstream.gate);
        }
        self.former.get_mut(id).map(|former| &mut former.gate)
    }

    /// Records that an incarnation of an upstream has told another host that it leaves.
    pub(super) fn mark_leaving(&mut self, id: &str, start: u64, at: Tick) {
        let known_start = match (self.all.get(id), self.former.get(id)) {
            (Some(upstream), _) => Some(upstream.listed.start),
            (None, former) => former.map(|former| former.start),
        };
        if let Some(gate) = self.gate_mut(id).filter(|_| known_start == Some(start)) {
            gate.record_leaving(Heard { at, own: false });
        }
    }
}
