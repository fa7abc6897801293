//! Comparison of what callers were told with what the stand-ins ran.

use std::time::Duration;

use load::trial::caller::{CallResult, Outcome};
use load::trial::check::ExecutionLog;
use load::workload::{Arrival, Call, LatencyTargets};
use standin::engine::continuation;
use standin::record::Line;

const TARGETS: LatencyTargets = LatencyTargets {
    first_token: None,
    token_gap: None,
    total: Duration::from_secs(1),
};

fn arrival(call: Call) -> Arrival {
    Arrival {
        at: Duration::ZERO,
        account: 0,
        entry: 0,
        call,
        targets: TARGETS,
    }
}

fn deposit(key: &str) -> Arrival {
    arrival(Call::Write {
        service: "till",
        path: "/deposits",
        key: key.to_owned(),
    })
}

fn call_result(outcome: Outcome) -> CallResult {
    CallResult {
        outcome,
        first_token: None,
        token_gaps: Vec::new(),
        total: Duration::ZERO,
    }
}

fn ran(key: &str) -> Line {
    Line::Ran {
        at_us: 1,
        key: key.to_owned(),
    }
}

/// A prefill of one conversation that takes a microsecond.
fn begun(at_us: u64, prompt_tokens: u64, cached_tokens: u64, begun_tokens: u64) -> Line {
    Line::Begun {
        from_us: at_us - 1,
        at_us,
        request: String::new(),
        conversation: 7,
        prompt: 1,
        prompt_tokens,
        cached_tokens,
        begun_tokens,
    }
}

fn ended(at_us: u64, prompt_tokens: u64, made_tokens: u64) -> Line {
    Line::Ended {
        at_us,
        request: String::new(),
        conversation: 7,
        prompt_tokens,
        made_tokens,
    }
}

/// A deposit runs on two replicas, and the client is charged twice.
#[test]
fn double_run() {
    let verdict = ExecutionLog::new(vec![ran("a"), ran("a"), ran("b")])
        .compare(&[deposit("a")], &[call_result(Outcome::Complete)]);
    assert_eq!(verdict.doubled, ["a ran 2 times"]);
    assert!(verdict.after_refusal.is_empty());
}

/// The caller of a deposit is told that it did not run and books it elsewhere, although a replica ran it.
#[test]
fn false_refusal() {
    let arrivals = [deposit("a"), deposit("a"), deposit("b"), deposit("b")];
    let outcomes = [Outcome::NotRun, Outcome::NotRun, Outcome::NotRun, Outcome::Complete].map(call_result);
    let verdict = ExecutionLog::new(vec![ran("a"), ran("b")]).compare(&arrivals, &outcomes);
    assert_eq!(verdict.after_refusal, ["a"]);
}

/// A chat is refused as not run although an engine generated an answer.
#[test]
fn refused_chat() {
    let messages = vec![("user".to_owned(), "a ring".to_owned())];
    let prompt = continuation(&messages, false).0;
    let mut line = begun(5, 2, 0, 0);
    if let Line::Begun {
        prompt: line_prompt, ..
    } = &mut line
    {
        *line_prompt = prompt;
    }
    let call = Call::Chat { messages, tokens: 4 };
    let verdict = ExecutionLog::new(vec![line]).compare(&[arrival(call)], &[call_result(Outcome::NotRun)]);
    assert_eq!(verdict.after_refusal.len(), 1);
}

/// An entry host crashes while it forwards a deposit. The caller gets no response, although a replica ran the deposit.
#[test]
fn silent_loss() {
    let arrivals = [deposit("a"), deposit("b"), deposit("c")];
    let broken = || call_result(Outcome::Broken("send: reset".to_owned()));
    let verdict = ExecutionLog::new(vec![ran("a"), ran("c")])
        .compare(&arrivals, &[broken(), broken(), call_result(Outcome::Unknown)]);
    assert_eq!(verdict.lost, ["a: send: reset"]);
}

/// A caller gets the answer to another request, which must count as lost.
#[test]
fn wrong_answer() {
    let verdict = ExecutionLog::default().compare(
        &[deposit("a")],
        &[call_result(Outcome::Wrong("no a in the answer".to_owned()))],
    );
    assert_eq!(verdict.lost.len(), 1);
}

/// The first prefill of a conversation must not count as recomputed.
#[test]
fn first_run() {
    assert_eq!(
        ExecutionLog::new(vec![begun(10, 300, 0, 0), ended(20, 300, 40)]).recomputed(),
        0
    );
}

/// The second turn of a conversation goes to an engine that does not have the first in its cache. Its prompt has the
/// 340 tokens of the first turn and 60 new ones; only the former were computed before.
#[test]
fn cold_turn() {
    let lines = vec![begun(10, 300, 0, 0), ended(20, 300, 40), begun(30, 400, 0, 0)];
    assert_eq!(ExecutionLog::new(lines).recomputed(), 340);
}

/// The second turn goes to the same engine; only the tokens after the last cached block are recomputed.
#[test]
fn warm_turn() {
    let lines = vec![begun(10, 300, 0, 0), ended(20, 300, 40), begun(30, 400, 336, 0)];
    assert_eq!(ExecutionLog::new(lines).recomputed(), 4);
}

/// An engine is killed after 12 tokens without an end in its event log. Another engine continues the answer and
/// prefills the prompt and these 12 tokens again.
#[test]
fn replayed_answer() {
    let lines = vec![begun(10, 300, 0, 0), begun(30, 312, 0, 12)];
    assert_eq!(ExecutionLog::new(lines).recomputed(), 312);
}

/// A turn arrives before the answer to the previous one is complete. The tokens of that answer were not computed yet.
#[test]
fn early_turn() {
    let lines = vec![begun(10, 300, 0, 0), begun(15, 400, 0, 0), ended(20, 300, 40)];
    assert_eq!(ExecutionLog::new(lines).recomputed(), 300);
}
