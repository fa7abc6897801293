//! Parsing of events: each is returned as a whole, once and in order.

use gateway::events::{EventError, EventParser};
use quickcheck::quickcheck;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

fn next_ids(events: &mut EventParser, bytes: &[u8]) -> Result<Vec<u64>, EventError> {
    events.push(bytes);
    let mut ids = Vec::new();
    while let Some(event) = events.next_event()? {
        ids.extend(event.id);
    }
    Ok(ids)
}

quickcheck! {
    fn any_cuts(count: u8, cut: usize) -> bool {
        let text: String = (1..=u64::from(count)).map(event).collect();
        let cut = cut % (text.len() + 1);
        let mut events = EventParser::default();
        let mut received = next_ids(&mut events, &text.as_bytes()[..cut]).unwrap();
        received.extend(next_ids(&mut events, &text.as_bytes()[cut..]).unwrap());
        received == (1..=u64::from(count)).collect::<Vec<_>>() && !events.is_partial()
    }
}

/// Guards against an upstream that repeats or omits an event: the caller would get a part of the output twice, or miss
/// one unnoticed.
#[test]
fn duplicate_and_missing() {
    let mut events = EventParser::default();
    assert_eq!(next_ids(&mut events, (event(1) + &event(2)).as_bytes()), Ok(vec![1, 2]));
    let duplicate = next_ids(&mut events.clone(), event(2).as_bytes());
    assert_eq!(duplicate, Err(EventError::OutOfOrder { received: 2, last: 2 }));
    let missing = next_ids(&mut events, event(4).as_bytes());
    assert_eq!(missing, Err(EventError::OutOfOrder { received: 4, last: 2 }));
}

/// Guards against an incomplete event of a failed upstream that is joined with the bytes of the next one.
#[test]
fn partial_event() {
    let mut events = EventParser::default();
    assert_eq!(
        next_ids(&mut events, (event(1) + "id: 2\ndata: pie").as_bytes()),
        Ok(vec![1])
    );
    assert!(events.is_partial());
    events.discard_partial();
    events.push(event(2).as_bytes());
    let next = events.next_event().unwrap().unwrap();
    assert_eq!(next.bytes, event(2));
}

#[test]
fn resumed_ids() {
    let mut events = EventParser::resume_after(Some(7));
    assert_eq!(next_ids(&mut events, event(8).as_bytes()), Ok(vec![8]));
    let mut events = EventParser::resume_after(Some(7));
    next_ids(&mut events, event(7).as_bytes()).unwrap_err();
}
