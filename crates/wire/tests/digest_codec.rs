//! Encoding of digests: round trips, splitting without loss, and invalid datagrams, which must not cause a panic.

use quickcheck::{Gen, QuickCheck};
use wire::digest::{Amounts, Demand, DigestError, GossipDigest, LoadDigest, MAX_DATAGRAM};

fn sample() -> GossipDigest {
    let wanted = Amounts {
        requests: 350,
        tokens: 80,
        running: 2,
    };
    let demand = Demand {
        customer: 77,
        wanted,
        running: 2,
        lent: Amounts::default(),
    };
    GossipDigest {
        from: "entry-1".into(),
        sequence: 7,
        demand: vec![demand],
        ..GossipDigest::default()
    }
}

#[test]
fn round_trip() {
    let bytes = sample().encode().unwrap();
    assert_eq!(GossipDigest::decode(&bytes).unwrap(), sample());
}

#[test]
fn invalid_bytes() {
    fn decodes(bytes: Vec<u8>) -> bool {
        let _ = GossipDigest::decode(&bytes);
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(2_000, 11))
        .tests(2_000)
        .quickcheck(decodes as fn(Vec<u8>) -> bool);
}

#[test]
fn size_bound() {
    let mut digest = sample();
    digest.demand = vec![digest.demand[0]; MAX_DATAGRAM];
    assert!(matches!(digest.encode(), Err(DigestError::TooLong(_))));
}

/// Guards against load reports that are cut off. An entry host that polls many upstreams has more reports than fit one
/// datagram; the upstreams left out would look idle for ever and attract all requests.
#[test]
fn lossless_split() {
    fn lossless(demands: u8, loads: u16) -> bool {
        let mut digest = sample();
        let demand = |customer| Demand {
            customer,
            ..digest.demand[0]
        };
        digest.demand = (0..u32::from(demands)).map(demand).collect();
        let load = |upstream| LoadDigest {
            upstream,
            ..LoadDigest::default()
        };
        digest.loads = (0..u32::from(loads % 2_000)).map(load).collect();
        let parts = digest.clone().split().unwrap();
        let parts: Vec<GossipDigest> = parts.iter().map(|bytes| GossipDigest::decode(bytes).unwrap()).collect();
        let demand: Vec<Demand> = parts.iter().flat_map(|part| part.demand.clone()).collect();
        let loads: Vec<LoadDigest> = parts.iter().flat_map(|part| part.loads.clone()).collect();
        let same = parts
            .iter()
            .all(|part| part.sequence == digest.sequence && part.from == digest.from);
        same && demand == digest.demand && loads == digest.loads
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(2_000, 12))
        .tests(200)
        .quickcheck(lossless as fn(u8, u16) -> bool);
}
