//! Recently ended answers, newest first, whose conversations may continue.

use std::collections::{HashSet, VecDeque};
use std::time::Duration;

use contract::{RequestId, UpstreamId, UpstreamSpec};
use policy::Tick;
use policy::life::AnyHostState;
use policy::prefix::Prefix;

use crate::hosts::HostTracker;

/// Most ended answers that are remembered.
const MAX_ANSWERS: usize = 2_048;
/// Fewest words of prompt and answer that are worth a copy.
const MIN_WORDS: u64 = 32;
/// Safety margin before the announced end of a host.
const SAFETY_MARGIN: Duration = Duration::from_millis(200);

/// An ended answer and the engine whose cache holds it.
#[derive(Debug)]
pub(super) struct EndedAnswer {
    pub(super) id: RequestId,
    pub(super) spec: UpstreamSpec,
    pub(super) prefix: Prefix,
}

/// All remembered answers, and the engines that are being copied from.
#[derive(Debug, Default)]
pub(super) struct EndedAnswers {
    answers: VecDeque<EndedAnswer>,
    copying: HashSet<UpstreamId>,
}

impl EndedAnswers {
    /// Adds an answer; it replaces the earlier answer that it continues.
    pub(super) fn push(&mut self, id: &RequestId, spec: &UpstreamSpec, prefix: Prefix) {
        if prefix.words() < MIN_WORDS {
            return;
        }
        let continues = |old: &EndedAnswer| {
            let last = old.prefix.blocks().last();
            old.spec.id == spec.id && last.is_some_and(|last| prefix.blocks().contains(last))
        };
        if let Some(index) = self.answers.iter().position(continues) {
            self.answers.remove(index);
        }
        self.answers.push_front(EndedAnswer {
            id: id.clone(),
            spec: spec.clone(),
            prefix,
        });
        self.answers.truncate(MAX_ANSWERS);
    }

    /// Returns the engines that are being copied from.
    pub(super) fn copying_engines(&self) -> impl Iterator<Item = UpstreamId> {
        self.copying.iter().cloned()
    }

    /// Takes the newest answer of each engine on a leaving host if its copy fits into the time that is left. `busy`
    /// holds the engines that already export.
    pub(super) fn take_copyable(
        &mut self,
        hosts: &HostTracker,
        per_token: Duration,
        now: Tick,
        busy: &mut HashSet<UpstreamId>,
    ) -> Vec<EndedAnswer> {
        let mut taken = Vec::new();
        let mut others = VecDeque::with_capacity(self.answers.len());
        for answer in self.answers.drain(..) {
            let AnyHostState::Leaving(state) = hosts.state(&answer.spec.host) else {
                others.push_back(answer);
                continue;
            };
            // A drained host has no announced end; its conversations move with their next turn.
            let Some(time_left) = state.gone_at().map(|at| at.since(now)) else {
                continue;
            };
            let fits = per_token.mul_f64(answer.prefix.words() as f64) + SAFETY_MARGIN <= time_left;
            if !fits {
                continue;
            }
            if busy.insert(answer.spec.id.clone()) {
                self.copying.insert(answer.spec.id.clone());
                taken.push(answer);
            } else {
                others.push_back(answer);
            }
        }
        self.answers = others;
        taken
    }

    /// Puts an answer back if its copy can't start yet.
    pub(super) fn put_back(&mut self, answer: EndedAnswer) {
        self.copy_done(&answer);
        self.answers.push_front(answer);
    }

    /// Records that a copy ended.
    pub(super) fn copy_done(&mut self, answer: &EndedAnswer) {
        self.copying.remove(&answer.spec.id);
    }
}
