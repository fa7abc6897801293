//! Guards against hosts that follow the same old report together and overload the upstream that it shows as idle.

mod calls;

use calls::{CallLoad, Measured, Strategy, replay};

const SEEDS: std::ops::Range<u64> = 0..4;

/// Deployment B at its usual load.
const USUAL: CallLoad = CallLoad {
    hosts: 67,
    upstreams: 4,
    per_s: 250.0,
    work_ms: 30.0,
    target_ms: 150,
    queue: 6,
    slow_share: 0.0,
    tells_pace: false,
    lost: 0,
};

/// Returns the sums over all seeds, and prints them for the design note.
fn measure(name: &str, load: &CallLoad, strategy: Strategy) -> Measured {
    let sum = SEEDS.fold(Measured::default(), |sum, seed| sum + replay(load, strategy, seed));
    println!("| {name} | {strategy:?} | {sum} |");
    sum
}

/// Measures all strategies; returns what today's and the chosen one give.
fn compare(name: &str, load: &CallLoad) -> (Measured, Measured) {
    for strategy in [Strategy::BetterOfTwo, Strategy::NearLowest, Strategy::Capacity] {
        measure(name, load, strategy);
    }
    let today = measure(name, load, Strategy::Lowest);
    (today, measure(name, load, Strategy::Spread))
}

#[test]
fn even_upstreams() {
    let loads = [
        (
            "A usual",
            CallLoad {
                hosts: 66,
                per_s: 175.0,
                work_ms: 15.0,
                target_ms: 120,
                ..USUAL
            },
        ),
        (
            "A at five times",
            CallLoad {
                hosts: 66,
                per_s: 900.0,
                work_ms: 15.0,
                target_ms: 120,
                ..USUAL
            },
        ),
        ("B usual", USUAL),
        ("B at twice", CallLoad { per_s: 500.0, ..USUAL }),
        (
            "B at twice, no queue",
            CallLoad {
                per_s: 500.0,
                queue: 0,
                ..USUAL
            },
        ),
        (
            "B at twice, 10 hosts",
            CallLoad {
                hosts: 10,
                per_s: 500.0,
                ..USUAL
            },
        ),
        (
            "B at twice, 5 hosts",
            CallLoad {
                hosts: 5,
                per_s: 500.0,
                ..USUAL
            },
        ),
        (
            "B at twice, 3 hosts",
            CallLoad {
                hosts: 3,
                per_s: 500.0,
                ..USUAL
            },
        ),
    ];
    for (name, load) in loads {
        let (today, chosen) = compare(name, &load);
        assert!(chosen.late <= today.late, "{name}");
        assert!(chosen.refused <= today.refused, "{name}");
    }
}

#[test]
fn slow_moments() {
    let slow = CallLoad {
        slow_share: 1.0 / 7.0,
        ..USUAL
    };
    let loads = [
        ("B, untold pace", slow),
        (
            "B, told pace",
            CallLoad {
                tells_pace: true,
                ..slow
            },
        ),
        ("B at 1.8, untold pace", CallLoad { per_s: 450.0, ..slow }),
        (
            "B at 1.8, told pace",
            CallLoad {
                per_s: 450.0,
                tells_pace: true,
                ..slow
            },
        ),
        (
            "B, no queue, told pace",
            CallLoad {
                queue: 0,
                tells_pace: true,
                ..slow
            },
        ),
        (
            "B, told pace, 5 hosts",
            CallLoad {
                hosts: 5,
                tells_pace: true,
                ..slow
            },
        ),
    ];
    for (name, load) in loads {
        let (today, chosen) = compare(name, &load);
        assert!(chosen.late + chosen.refused <= today.late + today.refused, "{name}");
    }
}

#[test]
fn half_slow() {
    let slow = CallLoad {
        slow_share: 0.5,
        tells_pace: true,
        ..USUAL
    };
    let (today, chosen) = compare("B, half slow", &slow);
    assert!(chosen.late + chosen.refused <= today.late + today.refused);
}

/// Two of four upstreams are lost at once while one in seven is slow.
#[test]
fn upstreams_lost() {
    let lost = CallLoad {
        lost: 2,
        slow_share: 1.0 / 7.0,
        tells_pace: true,
        ..USUAL
    };
    let (today, chosen) = compare("B, half lost", &lost);
    assert!(chosen.late + chosen.refused <= today.late + today.refused);
}
