//! Datagrams survive encoding, and foreign bytes are refused without a panic.

use quickcheck::{Gen, QuickCheck};
use wire::digest::{Demand, Digest, DigestError, MAX_DATAGRAM};

fn sample() -> Digest {
    let demand = Demand {
        customer: "mwangaza".into(),
        requests_per_s: 3.5,
        tokens_per_s: 80.0,
        running: 2,
    };
    Digest {
        from: "entry-1".into(),
        sequence: 7,
        demand: vec![demand],
        ..Digest::default()
    }
}

#[test]
fn round_trip() {
    let bytes = sample().encode().unwrap();
    assert_eq!(Digest::decode(&bytes).unwrap(), sample());
}

#[test]
fn foreign_bytes() {
    fn holds(bytes: Vec<u8>) -> bool {
        let _ = Digest::decode(&bytes);
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(2_000, 11))
        .tests(2_000)
        .quickcheck(holds as fn(Vec<u8>) -> bool);
}

#[test]
fn size_bound() {
    let mut digest = sample();
    digest.demand = vec![digest.demand[0].clone(); MAX_DATAGRAM];
    assert!(matches!(digest.encode(), Err(DigestError::TooLong(_))));
}
