//! Answers that ended, newest first, whose conversations may go on.

use std::collections::{HashSet, VecDeque};
use std::time::Duration;

use contract::{RequestId, UpstreamId, UpstreamSpec};
use policy::Tick;
use policy::life::AnyHostState;
use policy::prefix::Prefix;

use crate::hosts::Hosts;

/// Answers that are remembered.
const MOST: usize = 2_048;
/// Fewest words that are worth a copy.
const FEWEST: u64 = 32;
/// Time before the end of a host that is not counted on.
const SAFETY: Duration = Duration::from_millis(200);

/// An answer that ended.
#[derive(Debug)]
pub(super) struct Kept {
    pub(super) id: RequestId,
    pub(super) spec: UpstreamSpec,
    pub(super) prefix: Prefix,
}

/// All of them.
#[derive(Debug, Default)]
pub(super) struct KeptAnswers {
    answers: VecDeque<Kept>,
    copying: HashSet<UpstreamId>,
}

impl KeptAnswers {
    /// Adds an answer; what it continues needs no copy of its own.
    pub(super) fn push(&mut self, id: &RequestId, spec: &UpstreamSpec, prefix: Prefix) {
        if prefix.words() < FEWEST {
            return;
        }
        let continues = |old: &Kept| {
            let last = old.prefix.blocks().last();
            old.spec.id == spec.id && last.is_some_and(|last| prefix.blocks().contains(last))
        };
        if let Some(at) = self.answers.iter().position(continues) {
            self.answers.remove(at);
        }
        self.answers.push_front(Kept {
            id: id.clone(),
            spec: spec.clone(),
            prefix,
        });
        self.answers.truncate(MOST);
    }

    /// Gives the engines from which a copy is under way.
    pub(super) fn copying(&self) -> impl Iterator<Item = UpstreamId> {
        self.copying.iter().cloned()
    }

    /// Takes the newest answer of each engine whose host leaves, if its copy fits into the time that is left.
    pub(super) fn take(
        &mut self,
        hosts: &Hosts,
        export: Duration,
        now: Tick,
        busy: &mut HashSet<UpstreamId>,
    ) -> Vec<Kept> {
        let mut taken = Vec::new();
        let mut rest = VecDeque::with_capacity(self.answers.len());
        for kept in self.answers.drain(..) {
            let AnyHostState::Leaving(life) = hosts.stage(&kept.spec.host) else {
                rest.push_back(kept);
                continue;
            };
            // On a drained host nobody counts the time, and its conversations move with their next turn.
            let Some(left) = life.gone_at().map(|at| at.since(now)) else {
                continue;
            };
            let fits = export.mul_f64(kept.prefix.words() as f64) + SAFETY <= left;
            if !fits {
                continue;
            }
            if busy.insert(kept.spec.id.clone()) {
                self.copying.insert(kept.spec.id.clone());
                taken.push(kept);
            } else {
                rest.push_back(kept);
            }
        }
        self.answers = rest;
        taken
    }

    /// Puts an answer back whose copy can't begin.
    pub(super) fn put_back(&mut self, kept: Kept) {
        self.done(&kept);
        self.answers.push_front(kept);
    }

    /// Notes that a copy ended.
    pub(super) fn done(&mut self, kept: &Kept) {
        self.copying.remove(&kept.spec.id);
    }
}
