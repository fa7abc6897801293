//! The tents' registration: seat lookups and bookings, guest questions, season plans and menu notices.

use std::time::Duration;

use contract::RetrySafety;
use rand::Rng;

use super::text::{Talk, class, contract, to_model, to_service};
use super::{Arrival, Call, Draw, Plan, Promise};

const MODEL: &str = "iftar-1";
const REGISTRATION: &str = "registration";
const NOTICES: &str = "notices";
const SHORT: u64 = 256;
/// Part of the run after which the fast breaks; notices must have arrived before.
const FAST_BREAKS: f64 = 0.75;
const GUEST: Promise = Promise::chat(700, 66, 4_000);
const SEASON: Promise = Promise::chat(4_000, 150, 12_000);
const LOOKUP: Promise = Promise::service(400);
const BOOKING: Promise = Promise::service(5_000);
const NOTICE: Promise = Promise::service(5_000);

pub(super) fn plan(draw: &mut Draw) -> Plan {
    let guest = Talk {
        shared: 64,
        variants: 4,
        turns: (1, 3),
        words: (12, 40),
        tokens: (16, 32),
        pause: (1_000, 2_000),
        promise: GUEST,
    };
    let season = Talk {
        shared: 320,
        variants: 2,
        turns: (1, 3),
        words: (160, 400),
        tokens: (80, 140),
        pause: (3_500, 5_000),
        promise: SEASON,
    };
    let mut arrivals = Vec::new();
    for at in draw.times(0.3 / guest.mean_turns()) {
        arrivals.extend(draw.talk(at, &guest));
    }
    for at in draw.times(0.06 / season.mean_turns()) {
        arrivals.extend(draw.talk(at, &season));
    }
    for at in draw.times(0.42) {
        let path = format!("/seats/tent-{}", draw.number());
        let call = Call::Lookup {
            service: REGISTRATION,
            path,
        };
        let account = draw.account();
        arrivals.push(draw.arrival(at, account, call, LOOKUP));
    }
    for at in draw.times(0.1) {
        let key = draw.key("seat");
        let call = Call::Once {
            service: REGISTRATION,
            path: "/bookings",
            key,
        };
        arrivals.extend(draw.once(at, &call, BOOKING));
    }
    arrivals.extend(notices(draw));
    Plan {
        contract: contract("mwangaza", classes()),
        model: MODEL,
        services: &[(REGISTRATION, 4), (NOTICES, 2)],
        arrivals,
    }
}

/// Gives notices, which come ever more often as the hour gets near and are worth nothing after it.
fn notices(draw: &mut Draw) -> Vec<Arrival> {
    let hour = draw.extent.duration.mul_f64(FAST_BREAKS);
    let count = draw.times(0.08).len();
    let mut arrivals = Vec::new();
    for _ in 0..count {
        let part: f64 = draw.rng.random();
        let at = hour.mul_f64(part.sqrt() * 0.98);
        let key = draw.key("menu");
        let call = Call::Once {
            service: NOTICES,
            path: "/menus",
            key,
        };
        let whole = hour.saturating_sub(at).clamp(Duration::from_millis(1), NOTICE.whole);
        arrivals.extend(draw.once(at, &call, Promise { whole, ..NOTICE }));
    }
    arrivals
}

fn classes() -> Vec<contract::Class> {
    let once = RetrySafety::AtMostOnce;
    vec![
        class("seat-booking", to_service(REGISTRATION, "POST"), BOOKING, once, 0),
        class(
            "seat-lookup",
            to_service(REGISTRATION, "GET"),
            LOOKUP,
            RetrySafety::Idempotent,
            0,
        ),
        class("menu-notice", to_service(NOTICES, "POST"), NOTICE, once, 1),
        class(
            "guest-question",
            to_model(MODEL, Some(SHORT)),
            GUEST,
            RetrySafety::Idempotent,
            0,
        ),
        class("season-plan", to_model(MODEL, None), SEASON, RetrySafety::Idempotent, 3),
    ]
}
