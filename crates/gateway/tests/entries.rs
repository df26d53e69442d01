//! Batches of servers' store entries that instances send each other.

use std::sync::Arc;

use proptest::{collection::vec, prelude::*};
use serde_json::json;
use shallotlead_gateway::gossip::{Datagram, Entries, Entry};

/// The store entry of one of a data centre's servers.
fn entry(number: usize) -> Entry {
    let value = json!({
        "service": "chat", "address": format!("10.4.{}.{}:8620", number / 250, number % 250),
        "centre": "east-1", "release": "2.11.4", "places": 16, "presence": "ready", "warm": true,
        "count": 1, "started": 1_771_606_708_000_u64 + number as u64 * 37, "work": "none",
        "models": [{ "model": "m0", "weights": 3, "variants": [] }],
    });
    let id = (number as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 24;
    let server = Arc::from(format!("i-{id:010x}"));
    Entry { server, revision: 90_000 + number as u64, value: Some(value.to_string().into_bytes()) }
}

// A pool of 3,000 servers changes within seconds, and one instance of a data centre sends each entry to 59 others:
// uncompressed 71 MB, on a link that carries 2.5 MB per second. For half a minute no instance would hear of servers
// that shut down.
#[test]
fn entries_of_many_servers_use_little_of_a_link() {
    let entries: Vec<Entry> = (0..40).map(entry).collect();
    let plain: usize = entries.iter().filter_map(|it| it.value.as_ref()).map(Vec::len).sum();
    let packed = Entries::pack(&entries, 89_999, 90_039).unwrap();
    let bytes = postcard::to_stdvec(&Datagram::Entries(packed.clone())).unwrap();
    assert!(bytes.len() * 5 < plain, "{} of {plain} bytes", bytes.len());
    assert_eq!(packed.unpack().unwrap(), entries);
}

// A faulty or malicious sender sends a few KB that decompress to gigabytes.
#[test]
fn oversized_entries_are_rejected() {
    let value = Some(vec![b' '; 5 << 20]);
    let packed =
        Entries::pack(&[Entry { server: Arc::from("s"), revision: 1, value }], 0, 1).unwrap();
    assert!(packed.packed_len() < 64 << 10, "it fits a datagram");
    assert!(packed.unpack().is_err());
}

// A datagram with entries is lost. A receiver that ignored the gap would never request what it is missing.
#[test]
fn entries_after_a_gap_do_not_advance_the_revision() {
    let lost = Entries::pack(&[entry(1)], 10, 20).unwrap();
    let next = Entries::pack(&[entry(2)], 20, 30).unwrap();
    assert_eq!(next.advance(10), 10, "changes up to 20 are missing");
    assert_eq!(next.advance(lost.advance(10)), 30);
    assert_eq!(lost.advance(30), 30, "a late batch does not lower the revision");
}

// Entries that are long together were packed into one batch that no receiver unpacks.
#[test]
fn entries_beyond_one_batch_are_told_in_parts() {
    let all: Vec<Entry> =
        (0..600).map(|it| Entry { value: Some(vec![b' '; 16 << 10]), ..entry(it) }).collect();
    let (mut known, mut received) = (0, 0);
    while known < 95_000 {
        let newer = all.iter().filter(|it| known < it.revision).rev().cloned().collect();
        let part = Entries::pack_oldest(newer, known, 95_000).unwrap();
        received += part.unpack().unwrap().len();
        assert!(known < part.advance(known), "it goes on");
        known = part.advance(known);
    }
    assert_eq!(received, all.len());
}

proptest! {
    // Datagrams come from a network that may damage them.
    #[test]
    fn damaged_entries_are_rejected(bytes in vec(any::<u8>(), 0..400), at in 0_usize..800) {
        if let Ok(Datagram::Entries(it)) = postcard::from_bytes(&[&[2], &*bytes].concat()) {
            let _ = it.unpack();
        }
        let entries: Vec<Entry> = (0..3).map(entry).collect();
        let datagram = Datagram::Entries(Entries::pack(&entries, 1, 9).unwrap());
        let sent = postcard::to_stdvec(&datagram).unwrap();
        let received = postcard::from_bytes::<Datagram>(&sent[..at.min(sent.len())]);
        let is_read = matches!(&received, Ok(Datagram::Entries(it)) if it.unpack().is_ok());
        prop_assert_eq!(is_read, sent.len() <= at);
    }
}
