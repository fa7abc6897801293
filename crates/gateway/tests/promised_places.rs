//! Room at engines as a host counts it: guards against requests that are woken together and all choose the same place, and
//! against prompts that queue up at an engine while others have slots.

use std::time::Duration;

use contract::{ListedUpstream, ServiceName, Zone};
use gateway::upstreams::{ChosenUpstream, NoUpstream, UpstreamNeed, Upstreams};
use policy::Tick;
use policy::place::PromptPart;

const SLOTS: u32 = 4;
const PROMPT: [PromptPart; 1] = [PromptPart { key: 1, tokens: 100 }];

fn engines(count: u32) -> Upstreams {
    let engine = |index| ListedUpstream {
        id: format!("u{index}"),
        start: 1,
        service: ServiceName::from("m"),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: Zone::from("z"),
        version: String::new(),
        slots: SLOTS,
        leaving: false,
        reclaimable: false,
        cold: Duration::ZERO,
        left: None,
    };
    let mut upstreams = Upstreams::default();
    upstreams.update((0..count).map(engine).collect(), Tick::default());
    upstreams
}

type Choice = fn(&Upstreams, &UpstreamNeed<'_>, Tick) -> Result<ChosenUpstream, NoUpstream>;

fn choose_by(
    choice: Choice,
    upstreams: &Upstreams,
    prompt_parts: &[PromptPart],
    now: Tick,
) -> Result<ChosenUpstream, NoUpstream> {
    let need = UpstreamNeed {
        service: &ServiceName::from("m"),
        prompt_parts,
        tried: &[],
        zone: &Zone::from("z"),
        runs_once: false,
        max_pause_ms: 800,
        entry_hosts: 1,
        copy_ms: None,
        draw: 0.0,
        version: None,
    };
    choice(upstreams, &need, now)
}

fn choose(upstreams: &Upstreams, prompt_parts: &[PromptPart], now: Tick) -> Result<ChosenUpstream, NoUpstream> {
    choose_by(Upstreams::choose_with_room, upstreams, prompt_parts, now)
}

#[test]
fn each_counts() {
    let mut upstreams = engines(2);
    let now = Tick::from_millis(1_000);
    for id in ["u0", "u1"] {
        upstreams.get_mut(id).unwrap().update_load(3, 0, now);
    }
    let mut promised = Vec::new();
    while let Ok(chosen) = choose(&upstreams, &PROMPT, now) {
        promised.push((chosen.id.clone(), upstreams.promise(&chosen.id).expect("it is listed")));
        assert!(promised.len() < 100, "places without end");
    }
    // Each has one slot free, and one more place for the request that may end meanwhile.
    let at_first = promised.iter().filter(|(id, _)| id == "u0").count();
    assert_eq!((promised.len(), at_first), (4, 2));
    assert_eq!(choose(&upstreams, &PROMPT, now), Err(NoUpstream::AllFull));
    let (freed, place) = promised.swap_remove(0);
    drop(place);
    assert_eq!(choose(&upstreams, &PROMPT, now).map(|chosen| chosen.id), Ok(freed));
    assert!(upstreams.promise("gone").is_none());
}

/// Guards against prompts that leave the home of their parts as soon as its slots are taken, while other upstreams have
/// room, and against requests that are sent although none has.
#[test]
fn home_while_room() {
    let prompt = [PromptPart { key: 1, tokens: 40_000 }];
    let mut upstreams = engines(2);
    let now = Tick::from_millis(1_000);
    let chosen = choose(&upstreams, &prompt, now).expect("both are idle");
    let home = upstreams.get_mut(&chosen.id).expect("it is listed");
    let sent = home.record_sent(&prompt, &chosen, now);
    home.record_end(sent, &chosen, now, now);
    let later = Tick::from_millis(30_000);
    home.update_load(SLOTS + 1, 0, later);
    let unless_full = |upstreams: &Upstreams| choose_by(Upstreams::choose_unless_full, upstreams, &prompt, later);
    assert_eq!(unless_full(&upstreams).map(|next| next.id).as_ref(), Ok(&chosen.id));
    assert_ne!(
        choose(&upstreams, &prompt, later).map(|next| next.id).as_ref(),
        Ok(&chosen.id)
    );
    for id in ["u0", "u1"] {
        upstreams
            .get_mut(id)
            .unwrap()
            .update_load(SLOTS + 1, 0, later + Duration::from_millis(1));
    }
    assert_eq!(unless_full(&upstreams), Err(NoUpstream::AllFull));
}

/// Returns how many requests get a place.
fn places(upstreams: &Upstreams, prompt_parts: &[PromptPart], now: Tick) -> usize {
    let mut promised = Vec::new();
    while let Ok(chosen) = choose(upstreams, prompt_parts, now) {
        promised.extend(upstreams.promise(&chosen.id));
    }
    promised.len()
}

/// Guards against bounds that are narrower than before where reports don't help: calls without a prompt, and engines of
/// which nothing is known.
#[test]
fn wide_without_report() {
    let mut upstreams = engines(1);
    let now = Tick::from_millis(1_000);
    assert_eq!(places(&upstreams, &PROMPT, now), 2 * SLOTS as usize);
    upstreams.get_mut("u0").unwrap().update_load(0, 0, now);
    assert_eq!(places(&upstreams, &PROMPT, now), SLOTS as usize + 1);
    assert_eq!(places(&upstreams, &[], now), 2 * SLOTS as usize);
}
