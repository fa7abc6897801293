//! Names of the routing algorithms.

use policy::route::Routing;

/// The setting was checked against names without hyphens, so an entry host refused to start with the very names that
/// its error message offered.
#[test]
fn names_parse() {
    for routing in [Routing::Cost, Routing::LeastLoaded, Routing::RoundRobin] {
        let name = routing.to_string();
        assert_eq!(name.parse::<Routing>().ok(), Some(routing), "{name}");
    }
}
