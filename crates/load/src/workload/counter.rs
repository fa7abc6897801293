//! The jewellers' counter: long consultations, aftercare, stock lookups, deposits and bookings.

use contract::RetrySafety;

use super::text::{Talk, class, contract, to_model, to_service};
use super::{Call, Draw, Plan, Promise};

const MODEL: &str = "counter-1";
const TILL: &str = "till";
const SHORT: u64 = 128;
const CONSULTATION: Promise = Promise::chat(1_100, 66, 8_000);
const AFTERCARE: Promise = Promise::chat(600, 66, 4_000);
const LOOKUP: Promise = Promise::service(500);
const DEPOSIT: Promise = Promise::service(5_000);

pub(super) fn plan(draw: &mut Draw) -> Plan {
    let consultation = Talk {
        shared: 192,
        variants: 3,
        turns: (4, 8),
        words: (60, 140),
        tokens: (24, 48),
        pause: (1_000, 1_800),
        promise: CONSULTATION,
    };
    let aftercare = Talk {
        shared: 48,
        variants: 2,
        turns: (1, 1),
        words: (16, 64),
        tokens: (16, 32),
        pause: (1, 2),
        promise: AFTERCARE,
    };
    let mut arrivals = Vec::new();
    for at in draw.times(0.5 / consultation.mean_turns()) {
        arrivals.extend(draw.talk(at, &consultation));
    }
    for at in draw.times(0.2) {
        arrivals.extend(draw.talk(at, &aftercare));
    }
    for at in draw.times(0.2) {
        let path = format!("/stock/item-{}", draw.number());
        let call = Call::Lookup { service: TILL, path };
        let account = draw.account();
        arrivals.push(draw.arrival(at, account, call, LOOKUP));
    }
    for (path, share) in [("/deposits", 0.05), ("/bookings", 0.03)] {
        for at in draw.times(share) {
            let key = draw.key("till");
            let call = Call::Once {
                service: TILL,
                path,
                key,
            };
            arrivals.extend(draw.once(at, &call, DEPOSIT));
        }
    }
    let classes = vec![
        class("deposit", to_service(TILL, "POST"), DEPOSIT, RetrySafety::AtMostOnce, 0),
        class(
            "stock-lookup",
            to_service(TILL, "GET"),
            LOOKUP,
            RetrySafety::Idempotent,
            1,
        ),
        class(
            "aftercare",
            to_model(MODEL, Some(SHORT)),
            AFTERCARE,
            RetrySafety::Idempotent,
            0,
        ),
        class(
            "consultation",
            to_model(MODEL, None),
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
