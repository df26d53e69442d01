//! The address page: which instances a caller should use.

use std::time::Duration;

use hyper::Response;
use rand::seq::SliceRandom;
use serde::Serialize;
use shallotlead_base::name;

use crate::{
    caller::{answer, body::Body},
    shell::Listing,
};

const PARAMETER: &str = "centre";

/// The address page for a caller in the data centre that `query` names, or in `centre` otherwise.
pub(crate) fn page(
    listings: &[Listing],
    query: Option<&str>,
    centre: &name::Centre,
    region: &name::Region,
    ttl: Duration,
) -> Response<Body> {
    let centre = parameter(query).unwrap_or(centre.as_str());
    let mut listings: Vec<&Listing> = listings.iter().collect();
    // A random order within each rank spreads callers without any count of them.
    listings.shuffle(&mut rand::rng());
    let region = listings
        .iter()
        .find(|it| it.centre.as_str() == centre)
        .map_or(region, |it| &it.region)
        .clone();
    listings.sort_by_key(|it| rank(it, centre, region.as_str()));
    let addresses = listings.into_iter().map(Address::from).collect();
    let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
    answer::json(&Page { ttl_ms, addresses })
}

fn rank(listing: &Listing, centre: &str, region: &str) -> u8 {
    if listing.centre.as_str() == centre {
        0
    } else if listing.region.as_str() == region {
        1
    } else {
        2
    }
}

fn parameter(query: Option<&str>) -> Option<&str> {
    query?.split('&').find_map(|it| it.strip_prefix(PARAMETER)?.strip_prefix('='))
}

#[derive(Serialize)]
struct Page {
    ttl_ms: u64,
    addresses: Vec<Address>,
}

#[derive(Serialize)]
struct Address {
    address: String,
    instance: String,
    centre: String,
}

impl From<&Listing> for Address {
    fn from(listing: &Listing) -> Self {
        Self {
            address: listing.address.to_string(),
            instance: listing.instance.to_string(),
            centre: listing.centre.to_string(),
        }
    }
}
