//! The report page and the names in the JSON output.

use load::compare::Comparison;
use load::report::render;
use load::trial::figures::{Quantiles, Run, Tail};
use load::workload::Workload;

fn run(policy: &str, on_time: u64) -> Run {
    Run {
        policy: policy.to_owned(),
        answers: 900,
        on_time,
        cost_per_1k_on_time: (on_time > 0).then(|| 50.0 / on_time as f64),
        recomputed_tokens: 12_345,
        first_token_ms: Quantiles { p50: 80.0, p95: 700.5 },
        between_tokens_ms: Tail { p95: 33.1 },
        refused_not_run: 3,
        lost: 0,
        doubled: 0,
        run_after_refusal: 0,
    }
}

fn comparison(seed: u64) -> Comparison {
    Comparison {
        workload: Workload::Mwangaza,
        seed,
        runs: vec![run("gentianspring", 890), run("least-loaded", 0)],
    }
}

/// The page would not work offline if it loaded anything from elsewhere.
#[test]
fn self_contained() {
    let page = render(&[comparison(1), comparison(2)]).expect("a page");
    assert_eq!(page.matches("<svg").count(), 8);
    for part in ["mwangaza seed 1", "mwangaza seed 2", "least-loaded", "12345"] {
        assert!(page.contains(part), "{part}");
    }
    // The only URL in the page is the XML namespace of its plots.
    assert_eq!(
        page.matches("http").count(),
        page.matches("http://www.w3.org/2000/svg").count()
    );
    assert!(!page.contains("src="));
}

/// Readers of the JSON output would break if a field was renamed with the code.
#[test]
fn names_stable() {
    let text = serde_json::to_value(comparison(7)).expect("plain data");
    let fields: Vec<&String> = text["runs"][0].as_object().expect("an object").keys().collect();
    assert_eq!(text["workload"], "mwangaza");
    assert_eq!(text["seed"], 7);
    assert_eq!(
        fields,
        [
            "answers",
            "between_tokens_ms",
            "cost_per_1k_on_time",
            "doubled",
            "first_token_ms",
            "lost",
            "on_time",
            "policy",
            "recomputed_tokens",
            "refused_not_run",
            "run_after_refusal"
        ]
    );
    assert_eq!(text["runs"][0]["first_token_ms"]["p95"], 700.5);
    assert_eq!(text["runs"][1]["cost_per_1k_on_time"], serde_json::Value::Null);
}
