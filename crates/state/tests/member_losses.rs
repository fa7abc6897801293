//! Machines that are lost at any moment of a change of the members, the same one several times in a row.

#[expect(dead_code, reason = "the histories of agreement use the rest")]
mod group;

use group::{Group, Histories};
use quickcheck::{Gen, QuickCheck};

const SEED: u64 = 20_261_204;
const HISTORIES: u64 = 40;
/// Losses of several machines, one after the other, in each history.
const ROUNDS: usize = 4;
/// Most losses of one machine in a row.
const MAX_SERIES: usize = 4;
/// Steps of 20 ms: longest time for which a machine is down, and for which it runs before it is lost once more.
const DOWN_STEPS: usize = 150;
const UP_STEPS: usize = 25;
/// Most steps between the moments at which two machines go dark, and until the first disk is lost after that.
const DARK_STEPS: usize = 200;
/// Longest time for which another machine stands still meanwhile, so that leaders change.
const PAUSE_MS: usize = 1_500;
/// Steps after which the group must bear the next loss.
const CATCH_UP_STEPS: usize = 200;
/// Most steps until the others go on without a lost machine.
const RECOVERY_STEPS: usize = 600;

/// Loses one machine after the other, each several times in a row, beside a short fault of another one.
fn lose_machines(seed: u64, hosts: usize) -> bool {
    println!("history {seed} of {hosts} hosts");
    let mut group = Group::bearing(seed, hosts, Some((hosts - 1) / 2));
    group.run(100);
    for _ in 0..ROUNDS {
        let lost = match group.leader() {
            Some(leader) if group.draw(2) == 0 => leader,
            _ => group.draw(hosts),
        };
        let before = group.count();
        let elsewhere = is_elsewhere(&mut group);
        group.lose(lost, elsewhere);
        let goes_on = (0..RECOVERY_STEPS).any(|_| {
            group.run(1);
            group.count() > before + hosts
        });
        assert!(goes_on, "one loss stops the group");
        group.set_faults(true);
        for _ in 0..=group.draw(MAX_SERIES) {
            group.start_again(lost);
            let up = group.draw(UP_STEPS);
            group.run(up);
            disturb(&mut group, lost, hosts);
            let elsewhere = is_elsewhere(&mut group);
            group.lose(lost, elsewhere);
            let down = group.draw(DOWN_STEPS);
            group.run(down);
        }
        group.settle(CATCH_UP_STEPS);
    }
    group.run(CATCH_UP_STEPS);
    group.is_repaired()
}

/// Draws whether a machine that is lost is replaced by one at another address.
fn is_elsewhere(group: &mut Group) -> bool {
    group.draw(4) == 0
}

/// Stops another machine for a while, restarts it or cuts a link of it.
fn disturb(group: &mut Group, lost: usize, hosts: usize) {
    let other = group.leader().filter(|n| *n != lost).unwrap_or((lost + 1) % hosts);
    match group.draw(6) {
        0 | 1 => {
            let ms = group.draw(PAUSE_MS) as u64;
            group.pause(other, ms);
        }
        2 => {
            group.kill(other);
            let down = group.draw(UP_STEPS);
            group.run(down);
            group.start_again(other);
        }
        3 => group.cut_link(other, lost),
        4 => group.cut_link(lost, other),
        _ => {}
    }
}

/// Loses as many disks as are to be borne while other machines are dark and keep theirs, round after round, and checks
/// that the group goes on with what it had committed once all are back.
fn lose_beside_dark(seed: u64, hosts: usize, lost_disks: usize, known: bool) -> bool {
    println!("history {seed} of {hosts} hosts that lose {lost_disks} disks");
    let mut group = Group::bearing(seed, hosts, known.then_some(lost_disks));
    group.run(100);
    for _ in 0..ROUNDS {
        let mut order = group.shuffled();
        let mut lost = order.split_off(hosts - lost_disks);
        let dark_count = group.draw(order.len() + 1);
        let dark = &order[..dark_count];
        group.set_faults(true);
        for n in dark {
            group.kill(*n);
            let steps = group.draw(DARK_STEPS);
            group.run(steps);
        }
        if let Some(leader) = group.leader().filter(|leader| !dark.contains(leader)) {
            lost[0] = leader;
        }
        for n in &lost {
            let elsewhere = is_elsewhere(&mut group);
            group.lose(*n, elsewhere);
            // Half of the losses are at the same moment.
            let steps = group.draw(2) * group.draw(UP_STEPS);
            group.run(steps);
        }
        lost.extend_from_slice(dark);
        while !lost.is_empty() {
            let at = group.draw(lost.len());
            group.start_again(lost.swap_remove(at));
            let steps = group.draw(UP_STEPS);
            group.run(steps);
        }
        let before = group.count();
        group.settle(CATCH_UP_STEPS);
        assert!(
            group.count() > before + hosts,
            "the group does not go on after all are back"
        );
    }
    group.run(CATCH_UP_STEPS);
    // A group that doesn't know what it is to bear may keep the vote of a machine that is gone for good.
    !known || group.is_repaired()
}

fn check(hosts: usize) {
    check_histories(hosts, move |seed| lose_machines(seed, hosts));
}

fn check_dark(hosts: usize, lost_disks: usize) {
    check_histories(hosts, move |seed| {
        lose_beside_dark(seed, hosts, lost_disks, seed.is_multiple_of(2))
    });
}

fn check_histories(hosts: usize, holds: impl Fn(u64) -> bool + 'static) {
    let random = Gen::from_size_and_seed(100, SEED + hosts as u64);
    QuickCheck::new()
        .rng(random)
        .tests(HISTORIES)
        .quickcheck(Histories(holds));
}

/// Guards against a lost machine that never is a member again, so that the next loss stops a group of three.
#[test]
fn three_machines() {
    check(3);
}

/// The same in a group of four, which the loss of two voters stops.
#[test]
fn four_machines() {
    check(4);
}

/// The same in a group of five.
#[test]
fn five_machines() {
    check(5);
}

/// The same in a group of as many voters as there may be, where a newcomer has to wait for a place.
#[test]
fn seven_machines() {
    check(7);
}

/// Guards against a group of three that goes on with two voters while one is dark, and stops for good with the next disk.
#[test]
fn three_beside_dark() {
    check_dark(3, 1);
}

/// The same in a group of four, which may do without one voter.
#[test]
fn four_beside_dark() {
    check_dark(4, 1);
}

/// Guards against a group of five that goes on with four or three voters while others are dark, so that the loss of two
/// disks leaves no majority for good.
#[test]
fn five_beside_dark() {
    check_dark(5, 2);
}

/// The same in a group of seven, whether or not it knows that it is to bear the loss of two disks only.
#[test]
fn seven_beside_dark() {
    check_dark(7, 2);
}

/// Guards against a learner that waits for a vote for ever: the voter that it was to replace was removed, and another one is
/// lost whose vote can't be spared.
#[test]
fn vacant_task() {
    assert!(lose_machines(9_777_791_489_154_662_754, 7));
}
