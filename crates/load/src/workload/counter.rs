//! Workload of a jeweller: long consultations, aftercare questions, stock lookups, deposits and bookings.

use contract::RetrySafety;

use super::text::{ConversationShape, class, contract, match_model, match_service};
use super::{Call, LatencyTargets, Plan, PlanGenerator};

const MODEL: &str = "counter-1";
const TILL: &str = "till";
/// Longest prompt of the class of short chats.
const SHORT_PROMPT_TOKENS: u64 = 128;
const CONSULTATION: LatencyTargets = LatencyTargets::chat(1_100, 66, 8_000);
const AFTERCARE: LatencyTargets = LatencyTargets::chat(600, 66, 4_000);
const LOOKUP: LatencyTargets = LatencyTargets::service(500);
const DEPOSIT: LatencyTargets = LatencyTargets::service(5_000);

pub(super) fn plan(generator: &mut PlanGenerator) -> Plan {
    let consultation = ConversationShape {
        instruction_words: 192,
        instruction_variants: 3,
        turns: (4, 8),
        question_words: (60, 140),
        answer_tokens: (24, 48),
        pause_ms: (1_000, 1_800),
        targets: CONSULTATION,
    };
    let aftercare = ConversationShape {
        instruction_words: 48,
        instruction_variants: 2,
        turns: (1, 1),
        question_words: (16, 64),
        answer_tokens: (16, 32),
        pause_ms: (1, 2),
        targets: AFTERCARE,
    };
    let mut arrivals = Vec::new();
    for at in generator.arrival_times(0.5 / consultation.mean_turns()) {
        arrivals.extend(generator.conversation(at, &consultation));
    }
    for at in generator.arrival_times(0.2) {
        arrivals.extend(generator.conversation(at, &aftercare));
    }
    for at in generator.arrival_times(0.2) {
        let path = format!("/stock/item-{}", generator.unique_number());
        let call = Call::Lookup { service: TILL, path };
        let account = generator.random_account();
        arrivals.push(generator.arrival(at, account, call, LOOKUP));
    }
    for (path, share) in [("/deposits", 0.05), ("/bookings", 0.03)] {
        for at in generator.arrival_times(share) {
            let key = generator.idempotency_key("till");
            let call = Call::Write {
                service: TILL,
                path,
                key,
            };
            arrivals.extend(generator.retried_call(at, &call, DEPOSIT));
        }
    }
    let classes = vec![
        class(
            "deposit",
            match_service(TILL, "POST"),
            DEPOSIT,
            RetrySafety::AtMostOnce,
            0,
        ),
        class(
            "stock-lookup",
            match_service(TILL, "GET"),
            LOOKUP,
            RetrySafety::Idempotent,
            1,
        ),
        class(
            "aftercare",
            match_model(MODEL, Some(SHORT_PROMPT_TOKENS)),
            AFTERCARE,
            RetrySafety::Idempotent,
            0,
        ),
        class(
            "consultation",
            match_model(MODEL, None),
            CONSULTATION,
            RetrySafety::Idempotent,
            2,
        ),
    ];
    Plan {
        contract: contract("tan-seng-huat", classes),
        model: MODEL,
        services: &[(TILL, 4)],
        arrivals,
    }
}
