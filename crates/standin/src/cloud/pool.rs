//! Pools of hosts that can be started, with their prices.

use std::str::FromStr;

use serde::Serialize;

/// Hosts of one class in one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Pool {
    /// Zone by which prices and reclaims go.
    pub zone: String,
    /// Kind of host, such as reclaimable or on-demand.
    pub class: String,
    /// Price in micro-dollars an hour.
    pub price: u64,
    /// Most hosts that can run in the pool at once.
    #[serde(skip)]
    pub most: u64,
}

impl Pool {
    /// Returns whether a host of this zone and class belongs to the pool.
    pub(crate) fn covers(&self, zone: &str, class: &str) -> bool {
        self.zone == zone && self.class == class
    }
}

impl FromStr for Pool {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts: Vec<&str> = text.split(':').collect();
        let number = |text: &str| text.parse().map_err(|error| format!("{text}: {error}"));
        match parts.as_slice() {
            [zone, class, price, most] => Ok(Self {
                zone: (*zone).to_owned(),
                class: (*class).to_owned(),
                price: number(price)?,
                most: number(most)?,
            }),
            _ => Err("expected ZONE:CLASS:PRICE:MOST".to_owned()),
        }
    }
}
