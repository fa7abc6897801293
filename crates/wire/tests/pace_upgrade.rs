//! Observations of processes with and without paces, which run side by side during an upgrade.

use serde::{Deserialize, Serialize};
use wire::registry::UpstreamObservation;

/// An observation as processes without paces write and read it.
#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
struct FormerObservation {
    id: String,
    load: Option<(u32, u32, u32)>,
    backlog_ms: u32,
    overdue_ms: u32,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    replaced: bool,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    leaving: Option<u64>,
}

/// Guards against observations that a former or a later process can't read, and against ones that grow where nobody
/// reports a pace.
#[test]
fn both_directions() {
    let former = FormerObservation {
        id: "u".to_owned(),
        load: Some((3, 1, 90)),
        ..FormerObservation::default()
    };
    let text = serde_json::to_string(&former).unwrap();
    let read: UpstreamObservation = serde_json::from_str(&text).unwrap();
    assert_eq!((read.load, read.pace), (Some((3, 1, 90)), None));
    assert_eq!(
        serde_json::to_string(&read).unwrap(),
        text,
        "without a pace the text is the same"
    );
    let paced = UpstreamObservation {
        pace: Some((250, 90)),
        ..read
    };
    let text = serde_json::to_string(&paced).unwrap();
    assert_eq!(serde_json::from_str::<FormerObservation>(&text).unwrap(), former);
    assert_eq!(serde_json::from_str::<UpstreamObservation>(&text).unwrap(), paced);
}
