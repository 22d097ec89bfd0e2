use std::net::IpAddr;
use std::net::Ipv4Addr;

use indexmap::IndexMap;
use proptest::prelude::*;

use super::*;

fn table(blocks: &[(&str, &str)]) -> BlockTable {
    let blocks = blocks.iter().map(|(block, group)| (block.parse().unwrap(), *group));
    BlockTable::new(blocks).unwrap()
}

macro_rules! find_cases {
    ($($name:ident: $blocks:expr, $address:expr => $group:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(table(&$blocks).find_group($address.parse().unwrap()), $group);
        }
    )*};
}

find_cases! {
    no_block_no_group: [], "10.0.0.1" => None;
    outside_of_all: [("10.0.0.0/8", "a")], "11.0.0.0" => None;
    last_address_is_inside: [("10.0.0.0/8", "a")], "10.255.255.255" => Some("a");
    longest_wins: [("10.0.0.0/8", "a"), ("10.0.0.0/24", "b")], "10.0.0.9" => Some("b");
    beside_the_longest: [("10.0.0.0/8", "a"), ("10.0.0.0/24", "b")], "10.0.1.0" => Some("a");
    everything: [("0.0.0.0/0", "a")], "1.2.3.4" => Some("a");
    single_address: [("1.2.3.4/32", "a")], "1.2.3.4" => Some("a");
    families_are_apart: [("0.0.0.0/0", "a")], "2001:db8::1" => None;
    ipv6: [("2001:db8::/32", "a"), ("2001:db8:1::/48", "b")], "2001:db8:1::5" => Some("b");
    mapped_ipv4_counts_as_ipv4: [("10.0.0.0/8", "a")], "::ffff:10.0.0.1" => Some("a");
    last_of_equal_blocks_counts: [("10.0.0.0/8", "a"), ("10.0.0.0/8", "b")], "10.0.0.1" => Some("b");
}

macro_rules! refused_cases {
    ($($name:ident: $text:expr => $error:ident;)*) => {$(
        #[test]
        fn $name() {
            let error = $text.parse::<ClientBlock>().unwrap_err();
            assert!(matches!(error, BlockError::$error { .. }), "{error}");
        }
    )*};
}

refused_cases! {
    no_length: "10.0.0.0" => Malformed;
    not_an_address: "ten/8" => Malformed;
    too_long: "10.0.0.0/33" => TooLong;
    ipv6_too_long: "2001:db8::/65" => TooLong;
    bits_beyond_the_length: "10.0.0.1/8" => HostBits;
    ipv6_bits_in_the_second_half: "2001:db8::1/64" => HostBits;
}

#[test]
fn a_change_copies_one_chunk() {
    let block = |index: u32| {
        let address = Ipv4Addr::from(index << 8);
        (format!("{address}/24").parse::<ClientBlock>().unwrap(), "a")
    };
    let before = BlockTable::new((0..20_000).map(block)).unwrap();
    let mut after = before.clone();
    after.insert(block(777).0, "b").unwrap();
    let (shared, all) = after.shared_chunks(&before);
    assert_eq!(all - shared, 1);
    assert_eq!(before.find_group("0.3.9.1".parse().unwrap()), Some("a"));
    assert_eq!(after.find_group("0.3.9.1".parse().unwrap()), Some("b"));
}

#[test]
fn survives_serialization() {
    let before = table(&[("10.0.0.0/8", "a"), ("2001:db8::/32", "b")]);
    let text = serde_json::to_string(&before).unwrap();
    assert_eq!(serde_json::from_str::<BlockTable>(&text).unwrap(), before);
}

/// Blocks that overlap 10.0.0.0/16, so that many of them nest and chunks are split.
fn any_block() -> impl Strategy<Value = ClientBlock> {
    (any::<u16>(), 12..=32_u8).prop_map(|(bits, length)| {
        let address = 0x0a00_0000 | u32::from(bits);
        let mask = u32::MAX << (32 - length);
        format!("{}/{length}", Ipv4Addr::from(address & mask)).parse().unwrap()
    })
}

fn naive_find(blocks: &IndexMap<ClientBlock, u8>, address: Ipv4Addr) -> Option<u8> {
    let bits = u32::from(address);
    (0..=32_u8).rev().find_map(|length| {
        let mask = u32::MAX.checked_shl(32 - u32::from(length)).unwrap_or(0);
        let text = format!("{}/{length}", Ipv4Addr::from(bits & mask));
        blocks.get(&text.parse::<ClientBlock>().unwrap()).copied()
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        rng_seed: proptest::test_runner::RngSeed::Fixed(9),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn agrees_with_a_naive_table(
        built in proptest::collection::vec((any_block(), 0..9_u8), 0..1_500),
        changes in proptest::collection::vec((any_block(), proptest::option::of(0..9_u8)), 0..900),
        probes in proptest::collection::vec(any::<u16>(), 100),
    ) {
        let names = ["0", "1", "2", "3", "4", "5", "6", "7", "8"];
        let mut naive: IndexMap<ClientBlock, u8> = built.iter().copied().collect();
        let rows = built.iter().map(|(block, group)| (*block, names[usize::from(*group)]));
        let mut table = BlockTable::new(rows).unwrap();
        for (block, group) in changes {
            match group {
                Some(group) => {
                    naive.insert(block, group);
                    table.insert(block, names[usize::from(group)]).unwrap();
                }
                None => {
                    prop_assert_eq!(naive.shift_remove(&block).is_some(), table.remove(block));
                }
            }
        }
        prop_assert_eq!(table.len(), naive.len());
        for probe in probes {
            let address = Ipv4Addr::from(0x0a00_0000 | u32::from(probe));
            let expected = naive_find(&naive, address).map(|group| names[usize::from(group)]);
            prop_assert_eq!(table.find_group(IpAddr::V4(address)), expected);
        }
    }
}
