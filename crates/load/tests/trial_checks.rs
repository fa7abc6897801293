//! The comparison of what callers were told with what the stand-ins did.

use std::time::Duration;

use load::trial::caller::{End, Told};
use load::trial::check::Seen;
use load::workload::{Arrival, Call, Promise};
use standin::engine::continuation;
use standin::record::Line;

const PROMISE: Promise = Promise {
    first: None,
    between: None,
    whole: Duration::from_secs(1),
};

fn arrival(call: Call) -> Arrival {
    Arrival {
        at: Duration::ZERO,
        account: 0,
        entry: 0,
        call,
        promise: PROMISE,
    }
}

fn deposit(key: &str) -> Arrival {
    arrival(Call::Once {
        service: "till",
        path: "/deposits",
        key: key.to_owned(),
    })
}

fn told(end: End) -> Told {
    Told {
        end,
        first: None,
        gaps: Vec::new(),
        whole: Duration::ZERO,
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

/// A deposit is sent to two tills. The customer pays twice.
#[test]
fn double_run() {
    let found = Seen::new(vec![ran("a"), ran("a"), ran("b")]).compare(&[deposit("a")], &[told(End::Whole)]);
    assert_eq!(found.doubled, ["a ran 2 times"]);
    assert!(found.after_refusal.is_empty());
}

/// The caller of a deposit is told that it was not run, and books it elsewhere. The till ran it all the same.
#[test]
fn false_refusal() {
    let arrivals = [deposit("a"), deposit("a"), deposit("b"), deposit("b")];
    let ends = [End::NotRun, End::NotRun, End::NotRun, End::Whole].map(told);
    let found = Seen::new(vec![ran("a"), ran("b")]).compare(&arrivals, &ends);
    assert_eq!(found.after_refusal, ["a"]);
}

/// A question is refused as not run while an engine answered it for nobody.
#[test]
fn refused_chat() {
    let messages = vec![("user".to_owned(), "a ring".to_owned())];
    let prompt = continuation(&messages, false).0;
    let mut line = begun(5, 2, 0, 0);
    if let Line::Begun { prompt: of, .. } = &mut line {
        *of = prompt;
    }
    let call = Call::Chat { messages, tokens: 4 };
    let found = Seen::new(vec![line]).compare(&[arrival(call)], &[told(End::NotRun)]);
    assert_eq!(found.after_refusal.len(), 1);
}

/// An entry host dies with a deposit in its hands. Its caller hears nothing, though the till ran it.
#[test]
fn silent_loss() {
    let arrivals = [deposit("a"), deposit("b"), deposit("c")];
    let cut = || told(End::Cut("send: reset".to_owned()));
    let found = Seen::new(vec![ran("a"), ran("c")]).compare(&arrivals, &[cut(), cut(), told(End::Unknown)]);
    assert_eq!(found.lost, ["a: send: reset"]);
}

#[test]
fn wrong_answer() {
    let found = Seen::default().compare(&[deposit("a")], &[told(End::Wrong("no a in the answer".to_owned()))]);
    assert_eq!(found.lost.len(), 1);
}

#[test]
fn first_run() {
    assert_eq!(
        Seen::new(vec![begun(10, 300, 0, 0), ended(20, 300, 40)]).recomputed(),
        0
    );
}

/// The second turn of a consultation goes to an engine that never saw the first. Its prompt holds the 340 tokens of the
/// first turn and 60 new ones; only the former were computed before.
#[test]
fn cold_turn() {
    let lines = vec![begun(10, 300, 0, 0), ended(20, 300, 40), begun(30, 400, 0, 0)];
    assert_eq!(Seen::new(lines).recomputed(), 340);
}

#[test]
fn warm_turn() {
    let lines = vec![begun(10, 300, 0, 0), ended(20, 300, 40), begun(30, 400, 336, 0)];
    assert_eq!(Seen::new(lines).recomputed(), 4);
}

/// An engine is killed after 12 tokens and leaves no word. The rest is made elsewhere from the prompt and these 12.
#[test]
fn replayed_answer() {
    let lines = vec![begun(10, 300, 0, 0), begun(30, 312, 0, 12)];
    assert_eq!(Seen::new(lines).recomputed(), 312);
}

/// The next turn comes before the answer to the last one is made. Its tokens were not computed anywhere yet.
#[test]
fn early_turn() {
    let lines = vec![begun(10, 300, 0, 0), begun(15, 400, 0, 0), ended(20, 300, 40)];
    assert_eq!(Seen::new(lines).recomputed(), 300);
}
