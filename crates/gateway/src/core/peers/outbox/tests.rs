use super::*;

/// Most bytes of a datagram's payload that UDP over IPv4 takes.
const MAX_PAYLOAD: usize = 65_507;

/// Text that can't be compressed to less than half of its length.
fn noise(length: usize, seed: u64) -> Vec<u8> {
    let mut state = seed;
    let bytes = std::iter::repeat_with(|| {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (state >> 56) as u8
    });
    bytes.take(length).collect()
}

fn outbox(count: u64, length: usize) -> Outbox {
    let mut outbox = Outbox::default();
    for revision in 1..=count {
        let value: std::sync::Arc<[u8]> = noise(length, revision).into();
        let name = std::sync::Arc::from(format!("s{revision}"));
        outbox.add(Entry::new(&name, revision, Some(&value)));
    }
    outbox.mark_read(Some(0), count);
    outbox
}

// Entries that are long, but within the limit, were packed into datagrams that no socket sends.
#[test]
fn long_entries_are_sent_in_datagrams_of_their_own() {
    for (count, length) in [(100, 400), (40, 16_384), (7, 33_000)] {
        let datagrams = outbox(count, length).into_datagrams();
        let mut known = 0;
        let mut names = Vec::new();
        for it in datagrams {
            let entries = it.expect("they can be packed");
            assert!(entries.packed_len() < MAX_PAYLOAD, "{} bytes", entries.packed_len());
            known = entries.advance(known);
            names.extend(
                entries.unpack().expect("they can be read").into_iter().map(|it| it.server),
            );
        }
        assert_eq!((known, names.len() as u64), (count, count));
    }
}
