//! Generated plans: seeds, targets, conversations and retries.

use std::collections::HashSet;
use std::time::Duration;

use contract::RequestAttributes;
use load::workload::{Arrival, Call, Plan, PlanOptions, Workload};

const WORKLOADS: [Workload; 2] = [Workload::TanSengHuat, Workload::Mwangaza];

fn plan(workload: Workload, seed: u64) -> Plan {
    let duration = Duration::from_secs(20);
    Plan::new(
        workload,
        &PlanOptions {
            seed,
            duration,
            rate: 80.0,
        },
    )
}

/// Policies would be compared on different arrivals if the seed did not determine the plan.
#[test]
fn seed_determines() {
    for workload in WORKLOADS {
        assert_eq!(plan(workload, 3).arrivals, plan(workload, 3).arrivals);
        assert_ne!(plan(workload, 3).arrivals, plan(workload, 4).arrivals);
    }
}

/// An answer would be measured against targets that the system does not aim for if those of the arrival differed from
/// those of its class in the contract.
#[test]
fn targets_match() {
    for workload in WORKLOADS {
        let plan = plan(workload, 1);
        plan.contract.validate().expect("a valid contract");
        for arrival in &plan.arrivals {
            let class = plan.contract.class_of(&request(arrival, plan.model)).expect("a class");
            let ms = |time: Duration| u64::try_from(time.as_millis()).unwrap();
            assert_eq!(class.targets.first_token_ms, arrival.targets.first_token.map(ms));
            assert!(ms(arrival.targets.total) <= class.targets.whole_answer_ms);
        }
    }
}

fn request<'a>(arrival: &'a Arrival, model: &'a str) -> RequestAttributes<'a> {
    let (service, method, model, words) = match &arrival.call {
        Call::Chat { messages, .. } => {
            let words = messages.iter().map(|(_, text)| text.split_whitespace().count() as u64);
            (None, "POST", Some(model), words.sum())
        }
        Call::Lookup { service, .. } => (Some(*service), "GET", None, 0),
        Call::Write { service, .. } => (Some(*service), "POST", None, 0),
    };
    RequestAttributes {
        service,
        method,
        route: "/",
        model,
        prompt_tokens: words,
    }
}

/// A prefix cache would find nothing if a turn did not contain the one before with its expected answer.
#[test]
fn turns_extend() {
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
    let prompts: HashSet<&[(String, String)]> = plan
        .arrivals
        .iter()
        .filter_map(|arrival| match &arrival.call {
            Call::Chat { messages, .. } => Some(messages.as_slice()),
            _ => None,
        })
        .collect();
    for messages in chats {
        assert!(prompts.contains(&messages[..messages.len() - 2]));
    }
}

/// At-most-once execution would go untested if no call was retried with its key, or if two calls shared one.
#[test]
fn retries_share_keys() {
    for workload in WORKLOADS {
        let plan = plan(workload, 2);
        let keys: Vec<&str> = plan
            .arrivals
            .iter()
            .filter_map(|arrival| match &arrival.call {
                Call::Write { key, .. } => Some(key.as_str()),
                _ => None,
            })
            .collect();
        let distinct: HashSet<&str> = keys.iter().copied().collect();
        assert!(distinct.len() < keys.len());
        assert!(keys.len() < 2 * distinct.len());
    }
}
