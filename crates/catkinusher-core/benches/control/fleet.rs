//! The fleet round the one node: names, places and upstreams.

use catkinusher_core::id::{DataCentreId, RegionId, UpstreamId, VmId};
use catkinusher_core::membership::{ListedVm, Location};
use catkinusher_core::ownership::Site;

pub const DATA_CENTRES: usize = 7;
pub const UPSTREAMS: usize = 600;
pub const MODELS: usize = 39;
pub const CUSTOMERS: usize = 240;
/// A restart or replacement of an entry VM, in the whole fleet of 360, per second.
pub const CHURN: f64 = 217.0 / 86_400.0;
/// Changes of the configuration per second.
pub const CHANGES: f64 = 320.0 / 86_400.0;

/// The fleet that one node is part of.
#[derive(Debug, Clone)]
pub struct Fleet {
    pub size: usize,
    pub list: Vec<ListedVm>,
}

impl Fleet {
    pub fn new(size: usize) -> Self {
        let list = listing(size);
        Self { size, list }
    }

    /// Each member with its data centre.
    pub fn members(&self) -> impl Iterator<Item = (&VmId, &DataCentreId)> {
        self.list
            .iter()
            .map(|listed| (&listed.vm, &listed.location.data_centre))
    }
}

pub fn listing(size: usize) -> Vec<ListedVm> {
    (0..size)
        .map(|index| ListedVm {
            vm: format!("entry-{index:04}").parse().expect("a valid name"),
            location: Location {
                data_centre: data_centre(index % DATA_CENTRES),
                address: ([10, 0, (index / 250) as u8, (index % 250) as u8], 7000).into(),
            },
            leaving: false,
        })
        .collect()
}

pub fn data_centre(number: usize) -> DataCentreId {
    format!("region-{}-dc-{number}", number % 2)
        .parse()
        .expect("a valid name")
}

pub fn region(number: usize) -> RegionId {
    format!("region-{}", number % 2)
        .parse()
        .expect("a valid name")
}

pub fn upstream(number: usize) -> UpstreamId {
    format!("upstream-{number:04}")
        .parse()
        .expect("a valid name")
}

pub fn sites() -> Vec<(UpstreamId, Site)> {
    (0..UPSTREAMS)
        .map(|number| {
            let at = number % DATA_CENTRES;
            let site = Site {
                data_centre: data_centre(at),
                region: region(at),
            };
            (upstream(number), site)
        })
        .collect()
}
