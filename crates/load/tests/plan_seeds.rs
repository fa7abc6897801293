//! Plans of arrivals.

use std::collections::HashSet;
use std::time::Duration;

use contract::RequestAttributes;
use load::workload::{Arrival, Call, Extent, Plan, Workload};

const BOTH: [Workload; 2] = [Workload::TanSengHuat, Workload::Mwangaza];

fn plan(workload: Workload, seed: u64) -> Plan {
    let duration = Duration::from_secs(20);
    Plan::new(
        workload,
        &Extent {
            seed,
            duration,
            rate: 80.0,
        },
    )
}

#[test]
fn seed_decides() {
    for workload in BOTH {
        assert_eq!(plan(workload, 3).arrivals, plan(workload, 3).arrivals);
        assert_ne!(plan(workload, 3).arrivals, plan(workload, 4).arrivals);
    }
}

#[test]
fn contract_agrees() {
    // The promise that an arrival is measured against is the target of the class that the contract gives it.
    for workload in BOTH {
        let plan = plan(workload, 1);
        plan.contract.validate().expect("a valid contract");
        for arrival in &plan.arrivals {
            let class = plan.contract.class_of(&asked(arrival, plan.model)).expect("a class");
            let ms = |time: Duration| u64::try_from(time.as_millis()).unwrap();
            assert_eq!(class.targets.first_token_ms, arrival.promise.first.map(ms));
            assert!(ms(arrival.promise.whole) <= class.targets.whole_answer_ms);
        }
    }
}

fn asked<'a>(arrival: &'a Arrival, model: &'a str) -> RequestAttributes<'a> {
    let (service, method, model, words) = match &arrival.call {
        Call::Chat { messages, .. } => {
            let words = messages.iter().map(|(_, text)| text.split_whitespace().count() as u64);
            (None, "POST", Some(model), words.sum())
        }
        Call::Lookup { service, .. } => (Some(*service), "GET", None, 0),
        Call::Once { service, .. } => (Some(*service), "POST", None, 0),
    };
    RequestAttributes {
        service,
        method,
        route: "/",
        model,
        prompt_tokens: words,
    }
}

#[test]
fn turns_extend() {
    // Each turn holds the one before with its right answer, so that a prefix cache has something to find.
    let plan = plan(Workload::TanSengHuat, 1);
    let chats: Vec<&Vec<(String, String)>> = plan
        .arrivals
        .iter()
        .filter_map(|arrival| match &arrival.call {
            Call::Chat { messages, .. } if messages.len() > 2 => Some(messages),
            _ => None,
        })
        .collect();
    assert!(chats.len() > 100);
    let known: HashSet<&[(String, String)]> = plan
        .arrivals
        .iter()
        .filter_map(|arrival| match &arrival.call {
            Call::Chat { messages, .. } => Some(messages.as_slice()),
            _ => None,
        })
        .collect();
    for messages in chats {
        assert!(known.contains(&messages[..messages.len() - 2]));
    }
}

#[test]
fn resends_share() {
    // Some deposits are sent again under the same key, and no key serves two calls.
    for workload in BOTH {
        let plan = plan(workload, 2);
        let keys: Vec<&str> = plan
            .arrivals
            .iter()
            .filter_map(|arrival| match &arrival.call {
                Call::Once { key, .. } => Some(key.as_str()),
                _ => None,
            })
            .collect();
        let distinct: HashSet<&str> = keys.iter().copied().collect();
        assert!(distinct.len() < keys.len());
        assert!(keys.len() < 2 * distinct.len());
    }
}
