//! Workload of an event organizer: seat lookups and bookings, guest questions, season plans and menu notices.

use std::time::Duration;

use contract::RetrySafety;
use rand::Rng;

use super::text::{ConversationShape, class, contract, match_model, match_service};
use super::{Arrival, Call, LatencyTargets, Plan, PlanGenerator};

const MODEL: &str = "iftar-1";
const REGISTRATION: &str = "registration";
const NOTICES: &str = "notices";
/// Longest prompt of the class of short chats.
const SHORT_PROMPT_TOKENS: u64 = 256;
/// Fraction of the run at which the event starts; notices must have arrived before.
const NOTICE_DEADLINE: f64 = 0.75;
const GUEST: LatencyTargets = LatencyTargets::chat(700, 66, 4_000);
const SEASON: LatencyTargets = LatencyTargets::chat(4_000, 150, 12_000);
const LOOKUP: LatencyTargets = LatencyTargets::service(400);
const BOOKING: LatencyTargets = LatencyTargets::service(5_000);
const NOTICE: LatencyTargets = LatencyTargets::service(5_000);

pub(super) fn plan(generator: &mut PlanGenerator) -> Plan {
    let guest = ConversationShape {
        instruction_words: 64,
        instruction_variants: 4,
        turns: (1, 3),
        question_words: (12, 40),
        answer_tokens: (16, 32),
        pause_ms: (1_000, 2_000),
        targets: GUEST,
    };
    let season = ConversationShape {
        instruction_words: 320,
        instruction_variants: 2,
        turns: (1, 3),
        question_words: (160, 400),
        answer_tokens: (80, 140),
        pause_ms: (3_500, 5_000),
        targets: SEASON,
    };
    let mut arrivals = Vec::new();
    for at in generator.arrival_times(0.3 / guest.mean_turns()) {
        arrivals.extend(generator.conversation(at, &guest));
    }
    for at in generator.arrival_times(0.06 / season.mean_turns()) {
        arrivals.extend(generator.conversation(at, &season));
    }
    for at in generator.arrival_times(0.42) {
        let path = format!("/seats/tent-{}", generator.unique_number());
        let call = Call::Lookup {
            service: REGISTRATION,
            path,
        };
        let account = generator.random_account();
        arrivals.push(generator.arrival(at, account, call, LOOKUP));
    }
    for at in generator.arrival_times(0.1) {
        let key = generator.idempotency_key("seat");
        let call = Call::Write {
            service: REGISTRATION,
            path: "/bookings",
            key,
        };
        arrivals.extend(generator.retried_call(at, &call, BOOKING));
    }
    arrivals.extend(notices(generator));
    Plan {
        contract: contract("mwangaza", classes()),
        model: MODEL,
        services: &[(REGISTRATION, 4), (NOTICES, 2)],
        arrivals,
    }
}

/// Returns the notices, whose rate grows towards the deadline and which are worthless after it.
fn notices(generator: &mut PlanGenerator) -> Vec<Arrival> {
    let deadline = generator.options.duration.mul_f64(NOTICE_DEADLINE);
    let count = generator.arrival_times(0.08).len();
    let mut arrivals = Vec::new();
    for _ in 0..count {
        let fraction: f64 = generator.rng.random();
        let at = deadline.mul_f64(fraction.sqrt() * 0.98);
        let key = generator.idempotency_key("menu");
        let call = Call::Write {
            service: NOTICES,
            path: "/menus",
            key,
        };
        let total = deadline
            .saturating_sub(at)
            .clamp(Duration::from_millis(1), NOTICE.total);
        arrivals.extend(generator.retried_call(at, &call, LatencyTargets { total, ..NOTICE }));
    }
    arrivals
}

fn classes() -> Vec<contract::Class> {
    let at_most_once = RetrySafety::AtMostOnce;
    vec![
        class(
            "seat-booking",
            match_service(REGISTRATION, "POST"),
            BOOKING,
            at_most_once,
            0,
        ),
        class(
            "seat-lookup",
            match_service(REGISTRATION, "GET"),
            LOOKUP,
            RetrySafety::Idempotent,
            0,
        ),
        class("menu-notice", match_service(NOTICES, "POST"), NOTICE, at_most_once, 1),
        class(
            "guest-question",
            match_model(MODEL, Some(SHORT_PROMPT_TOKENS)),
            GUEST,
            RetrySafety::Idempotent,
            0,
        ),
        class(
            "season-plan",
            match_model(MODEL, None),
            SEASON,
            RetrySafety::Idempotent,
            3,
        ),
    ]
}
