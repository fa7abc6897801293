//! Whatever the network, the clocks and the disks do: one leader a term and a moment, nothing agreed is lost or changed.

mod group;

use group::{Group, Rough};
use quickcheck::{Gen, QuickCheck};

const SEED: u64 = 20_261_202;

fn check(histories: u64, seed: u64, rough: Rough) {
    let history = move |seed: u64| {
        println!("history {seed} of {rough:?}");
        let mut group = Group::new(seed, rough.hosts);
        group.live(rough);
        println!(
            "agreed {} wiped {} repaired {} removed {} terms {}",
            group.count(),
            group.wiped,
            group.repaired,
            group.removed,
            group.terms()
        );
        group.count() > 0
    };
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, seed))
        .tests(histories)
        .quickcheck(Histories(history));
}

/// A property over seeds that isn't shrunk: a smaller seed is no simpler history.
struct Histories<F>(F);

impl<F: Fn(u64) -> bool + 'static> quickcheck::Testable for Histories<F> {
    fn result(&self, choice: &mut Gen) -> quickcheck::TestResult {
        let seed = quickcheck::Arbitrary::arbitrary(choice);
        quickcheck::TestResult::from_bool((self.0)(seed))
    }
}

/// Messages are lost, doubled, delayed and crossed, processes die before their writes are synced, are frozen and wake up
/// late, links work in one direction only and clocks run at different rates. A user would notice a deposit that is gone.
#[test]
fn three_nodes() {
    check(
        150,
        SEED,
        Rough {
            hosts: 3,
            steps: 2_000,
            lose_disks: false,
            resize: false,
        },
    );
}

/// The same with five nodes, of which two may be away at any time.
#[test]
fn five_nodes() {
    check(
        60,
        SEED + 1,
        Rough {
            hosts: 5,
            steps: 2_000,
            lose_disks: false,
            resize: false,
        },
    );
}

/// Besides all that, disks are lost one after the other, each as soon as the one before is repaired. A node that came
/// back blank and voted as if it remembered would let a deposit vanish that a majority had written.
#[test]
fn lost_disks() {
    check(
        150,
        SEED + 2,
        Rough {
            hosts: 3,
            steps: 3_000,
            lose_disks: true,
            resize: false,
        },
    );
}

/// Members that seem gone are removed without a successor, and join again with an old log, while disks are lost too. If a
/// removed node still counted, or one that joins again voted before it has caught up, two majorities could decide
/// differently, and a configuration that was acknowledged would be gone.
#[test]
fn members_come_and_go() {
    check(
        150,
        SEED + 5,
        Rough {
            hosts: 5,
            steps: 3_000,
            lose_disks: true,
            resize: true,
        },
    );
}

/// One disk is lost and repaired, and in the same moment the host that leads loses its own.
#[test]
fn second_loss() {
    let histories = |seed: u64| {
        let mut group = Group::new(seed, 3);
        group.run(150);
        let first = group.follower();
        group.wipe(first);
        while !group.whole() {
            group.repair();
            group.run(1);
        }
        let agreed = group.count();
        let second = group.leader().unwrap_or(first);
        group.wipe(second);
        group.settle();
        group.count() > agreed && group.wiped == 2 && group.repaired >= 2
    };
    let random = Gen::from_size_and_seed(100, SEED + 3);
    QuickCheck::new()
        .rng(random)
        .tests(1000)
        .quickcheck(Histories(histories));
}

/// The leader's process is stopped for seconds while others elect a new one. On waking up it still believes that it
/// leads; it must notice by its own clock before it does anything.
#[test]
fn late_waking() {
    let mut group = Group::new(SEED, 3);
    group.run(150);
    for _ in 0..10 {
        if let Some(leader) = group.leader() {
            group.freeze(leader, 2_000);
        }
        group.run(200);
    }
    group.settle();
}

/// The leader hears its followers but they no longer hear it. They must be able to elect another one, after it stopped.
#[test]
fn one_way() {
    let mut group = Group::new(SEED + 4, 3);
    group.run(150);
    let leader = group.leader().expect("a calm group has a leader");
    (0..3).for_each(|n| group.cut(leader, n));
    group.run(250);
    assert_ne!(group.leader(), Some(leader));
    assert!(group.leader().is_some());
    group.settle();
}
