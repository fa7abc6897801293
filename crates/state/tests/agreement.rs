//! Raft safety under network, clock and disk faults: one leader per term and at a time, and no committed record is lost
//! or changed.

#[expect(dead_code, reason = "the losses of machines use the rest")]
mod group;

use group::{Group, Histories, History};
use quickcheck::{Gen, QuickCheck};

const SEED: u64 = 20_261_202;

fn check_histories(histories: u64, seed: u64, history: History) {
    let holds = move |seed: u64| {
        println!("history {seed} of {history:?}");
        let mut group = Group::new(seed, history.hosts);
        group.run_history(history);
        println!(
            "committed {} wiped {} repaired {} removed {} terms {}",
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
        .quickcheck(Histories(holds));
}

/// Guards against committed records that are lost, such as a deposit. Messages are dropped, duplicated, delayed and
/// reordered, processes die before their writes are synced or are paused, links fail in one direction, and clocks run
/// at different rates.
#[test]
fn three_nodes() {
    check_histories(
        150,
        SEED,
        History {
            hosts: 3,
            steps: 2_000,
            lose_disks: false,
            resize: false,
        },
    );
}

/// The same faults with five nodes, of which two may be down at any time.
#[test]
fn five_nodes() {
    check_histories(
        60,
        SEED + 1,
        History {
            hosts: 5,
            steps: 2_000,
            lose_disks: false,
            resize: false,
        },
    );
}

/// Disks are lost as well, each as soon as the previous one was replaced. A node that came back blank and voted under
/// its old id would let a record vanish that a majority had written.
#[test]
fn lost_disks() {
    check_histories(
        150,
        SEED + 2,
        History {
            hosts: 3,
            steps: 3_000,
            lose_disks: true,
            resize: false,
        },
    );
}

/// Members are removed without a replacement and join again with an old log, while disks are lost too. If a removed
/// node still counted, or one that joins again voted before it has caught up, two majorities could decide differently
/// and lose an acknowledged record.
#[test]
fn members_come_and_go() {
    check_histories(
        150,
        SEED + 5,
        History {
            hosts: 5,
            steps: 3_000,
            lose_disks: true,
            resize: true,
        },
    );
}

/// One disk is lost and replaced, and right after that the leader loses its disk. Nothing committed may be lost.
#[test]
fn second_disk_lost() {
    let holds = |seed: u64| {
        let mut group = Group::new(seed, 3);
        group.run(150);
        let first = group.follower();
        group.wipe(first);
        while !group.is_repaired() {
            group.repair();
            group.run(1);
        }
        let committed = group.count();
        let second = group.leader().unwrap_or(first);
        group.wipe(second);
        group.recover();
        group.count() > committed && group.wiped == 2 && group.repaired >= 2
    };
    let random = Gen::from_size_and_seed(100, SEED + 3);
    QuickCheck::new().rng(random).tests(1000).quickcheck(Histories(holds));
}

/// The leader's process is paused for seconds while others elect a new one. When it resumes it still considers itself
/// the leader, and must notice by its own clock before it does anything.
#[test]
fn paused_leader() {
    let mut group = Group::new(SEED, 3);
    group.run(150);
    for _ in 0..10 {
        if let Some(leader) = group.leader() {
            group.pause(leader, 2_000);
        }
        group.run(200);
    }
    group.recover();
}

/// The followers no longer receive messages of the leader, which still receives theirs. They must be able to elect
/// another leader once it has stepped down.
#[test]
fn one_way_link() {
    let mut group = Group::new(SEED + 4, 3);
    group.run(150);
    let leader = group.leader().expect("a group without faults has a leader");
    (0..3).for_each(|n| group.cut_link(leader, n));
    group.run(250);
    assert_ne!(group.leader(), Some(leader));
    assert!(group.leader().is_some());
    group.recover();
}
