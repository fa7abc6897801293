//! Events of a stream: whole ones only, each once and in order.

use gateway::events::{EventError, EventParser};
use quickcheck::quickcheck;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

fn ids(events: &mut EventParser, bytes: &[u8]) -> Result<Vec<u64>, EventError> {
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
        let mut seen = ids(&mut events, &text.as_bytes()[..cut]).unwrap();
        seen.extend(ids(&mut events, &text.as_bytes()[cut..]).unwrap());
        seen == (1..=u64::from(count)).collect::<Vec<_>>() && !events.is_partial()
    }
}

/// An upstream sends an event twice, or leaves one out. The caller would see a piece twice or miss one without a sign.
#[test]
fn doubled_and_missing() {
    let mut events = EventParser::default();
    assert_eq!(ids(&mut events, (event(1) + &event(2)).as_bytes()), Ok(vec![1, 2]));
    let doubled = ids(&mut events.clone(), event(2).as_bytes());
    assert_eq!(doubled, Err(EventError::OutOfOrder { received: 2, last: 2 }));
    let missing = ids(&mut events, event(4).as_bytes());
    assert_eq!(missing, Err(EventError::OutOfOrder { received: 4, last: 2 }));
}

/// An upstream dies in the middle of an event, and another goes on. What was unfinished must not be joined with what the
/// other sends.
#[test]
fn torn_event() {
    let mut events = EventParser::default();
    assert_eq!(
        ids(&mut events, (event(1) + "id: 2\ndata: pie").as_bytes()),
        Ok(vec![1])
    );
    assert!(events.is_partial());
    events.discard_partial();
    events.push(event(2).as_bytes());
    let next = events.next_event().unwrap().unwrap();
    assert_eq!(next.bytes, event(2));
}

#[test]
fn goes_on() {
    let mut events = EventParser::resume_after(Some(7));
    assert_eq!(ids(&mut events, event(8).as_bytes()), Ok(vec![8]));
    let mut events = EventParser::resume_after(Some(7));
    ids(&mut events, event(7).as_bytes()).unwrap_err();
}
