//! An entry host's copy of the leader's list of upstreams.

use std::time::Duration;

use contract::{Listed, NodeId, ServiceName, Zone};
use gateway::upstream_list::UpstreamList;
use policy::Tick;
use quickcheck::quickcheck;
use state::registry::{EntryRegistry, SharedLimits};
use wire::registry::{Heartbeat, ListUpdate};

const TERM: u64 = 1;

fn listed(id: u16, slots: u8) -> Listed {
    Listed {
        id: format!("u{id:05}"),
        start: 1,
        service: ServiceName::from("m"),
        address: ([127, 0, 0, 1], 1).into(),
        zone: Zone::from("z"),
        slots: u32::from(slots),
        leaving: false,
        reclaimable: false,
        cold: Duration::from_secs(9),
        left: None,
    }
}

/// Beats once, with so many entries in the answer at most.
fn beat(registry: &EntryRegistry, copy: &mut UpstreamList, most: u32, now: Tick) -> ListUpdate {
    let sharing = SharedLimits {
        entry_hosts: 1,
        ..SharedLimits::default()
    };
    let mut beat = Heartbeat::default();
    copy.fill_request(&mut beat);
    beat.max_listed = Some(most);
    let news = registry.heartbeat(TERM, (&NodeId::from("e"), beat), &sharing, now);
    let news = news.expect("the number of sharers is known").list;
    if let Some(age_ms) = news.age_ms {
        copy.apply_update(news.clone(), now - Duration::from_millis(age_ms), Duration::ZERO);
    }
    news
}

quickcheck! {
    /// Guards against upstreams that an entry host misses, or keeps although they are gone, when the list changes while it is on
    /// its way in pieces, or another leader tells it.
    fn copy_is_equal(lists: Vec<Vec<(u8, u8)>>, beats: Vec<u8>, other_leader: bool) -> bool {
        let mut registry = EntryRegistry::default();
        let mut copy = UpstreamList::default();
        let mut newest = Vec::new();
        let mut now_ms = 0;
        for (at, list) in lists.iter().enumerate() {
            now_ms += 500;
            newest = list.iter().map(|(id, slots)| listed(u16::from(*id), *slots)).collect();
            newest.sort_by(|a: &Listed, b| a.id.cmp(&b.id));
            newest.dedup_by(|a, b| a.id == b.id);
            if other_leader && at == lists.len() / 2 {
                registry = EntryRegistry::default();
            }
            let term = if other_leader && at >= lists.len() / 2 { TERM + 1 } else { TERM };
            registry.set_list(term, newest.clone(), Tick::from_millis(now_ms));
            for _ in 0..beats.get(at).copied().unwrap_or_default() % 4 {
                now_ms += 100;
                beat(&registry, &mut copy, 2, Tick::from_millis(now_ms));
            }
        }
        let asked = Tick::from_millis(now_ms);
        for _ in 0..300 {
            if beat(&registry, &mut copy, 2, asked).complete {
                break;
            }
        }
        let same = |(one, other): (&Listed, &Listed)| (&one.id, one.slots) == (&other.id, other.slots);
        let list = copy.entries_at(asked);
        list.len() == newest.len() && list.iter().zip(&newest).all(same)
    }
}

/// Guards against an answer with all entries when one of them has changed.
#[test]
fn one_entry_changed() {
    let registry = EntryRegistry::default();
    let mut copy = UpstreamList::default();
    let mut list: Vec<Listed> = (0..3_300).map(|id| listed(id, 4)).collect();
    registry.set_list(TERM, list.clone(), Tick::from_millis(1_000));
    assert_eq!(
        beat(&registry, &mut copy, 4_000, Tick::from_millis(1_100)).put.len(),
        3_300
    );
    list[7].leaving = true;
    list.pop();
    registry.set_list(TERM, list, Tick::from_millis(2_000));
    let news = beat(&registry, &mut copy, 4_000, Tick::from_millis(2_100));
    assert_eq!((news.put.len(), news.gone.len(), news.complete), (1, 1, true));
    let copied = copy.entries_at(Tick::from_millis(2_000));
    assert_eq!((copied.len(), copied[7].leaving), (3_299, true));
    assert_eq!(
        copied[3].cold,
        Duration::from_secs(8),
        "a second has passed since the entry was told"
    );
}

/// Guards against a copy that is told the whole list for ever, after many upstreams have come and gone.
#[test]
fn many_gone() {
    let registry = EntryRegistry::default();
    let mut copy = UpstreamList::default();
    for round in 0..30 {
        let list: Vec<Listed> = (0..200).map(|id| listed(round * 200 + id, 4)).collect();
        let now = Tick::from_millis(u64::from(round) * 1_000);
        registry.set_list(TERM, list.clone(), now);
        let mut beats = 0;
        while !beat(&registry, &mut copy, 64, now).complete {
            beats += 1;
            assert!(beats < 100, "round {round}: the list never comes to its end");
        }
        assert_eq!(copy.entries_at(now).len(), 200);
    }
}
