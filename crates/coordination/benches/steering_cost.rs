//! Measures the cost of placement decisions, shift positions and address block look-ups.

use std::hint::black_box;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::Ipv6Addr;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use coordination::blocks::BlockTable;
use coordination::blocks::ClientBlock;
use coordination::placement::PlacementCandidate;
use coordination::placement::PlacementTable;
use coordination::placement::TargetGroup;
use coordination::placement::TargetRecord;
use coordination::placement::WarmRamp;
use coordination::shift::DomainCapacity;
use coordination::shift::ShiftDirection;
use coordination::shift::ShiftInput;
use coordination::shift::ShiftOrder;
use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::Throughput;
use criterion::criterion_group;
use criterion::criterion_main;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const BLOCKS: usize = 1_400_000;
const GROUPS: usize = 34;

fn choose(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choose");
    for (targets, domains) in [(4, 1), (12, 1), (48, 1), (48, 4), (192, 16), (768, 64)] {
        let names: Vec<(String, String)> = (0..targets)
            .map(|index| (format!("target-{index}"), format!("domain-{}", index % domains)))
            .collect();
        let mut table = PlacementTable::default();
        for (target, domain) in &names {
            let group = TargetGroup { service: "service".into(), domain: domain.as_str().into() };
            let record = TargetRecord::new(WarmRamp::warm(Duration::from_secs(10)));
            table.insert(target.as_str().into(), group, record);
        }
        let candidates: Vec<_> = names
            .iter()
            .enumerate()
            .map(|(index, (target, domain))| PlacementCandidate {
                target,
                domain,
                slots: 4,
                in_flight: index as u32 % 4,
                round_trip: Duration::from_millis(index as u64 % domains as u64 * 10),
                traffic_weight: 1.0,
                link_utilization: 0.0,
            })
            .collect();
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let now = Instant::now();
        let id = BenchmarkId::from_parameter(format!("{targets} targets, {domains} domains"));
        group.bench_function(id, |bencher| {
            bencher.iter(|| table.choose(black_box(&candidates), 0.1, &mut rng, now));
        });
    }
    group.finish();
}

fn shift(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("shift positions");
    let start = SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000);
    for (domains, drained) in [(6, 1), (6, 3), (108, 3), (108, 36)] {
        let name = |index: usize| format!("domain-{index}").into_boxed_str();
        let share = |index| DomainCapacity {
            domain: name(index),
            slots: 48,
            warm_up: Duration::from_secs(10),
        };
        let order = |index| ShiftOrder {
            name: name(index),
            direction: ShiftDirection::Away,
            start: start + Duration::from_secs(index as u64),
            deadline: None,
            domains: [(name(index), None)].into_iter().collect(),
        };
        let input = ShiftInput {
            cap_percent_per_minute: 20.0,
            domains: (0..domains).map(share).collect(),
            orders: (0..drained).map(order).collect(),
        };
        let id = BenchmarkId::from_parameter(format!("{domains} domains, {drained} drained"));
        group.bench_function(id, |bencher| {
            bencher.iter(|| input.positions_at(black_box(start + Duration::from_secs(60))));
        });
    }
    group.finish();
}

/// Builds a table of 1.2 million IPv4 prefixes of /16 to /24 and 0.2 million IPv6 prefixes of /32 to /48, randomly
/// nested.
fn block_table() -> BlockTable {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let names: Vec<String> = (0..GROUPS).map(|index| format!("group-{index}")).collect();
    let mut blocks: indexmap::IndexMap<ClientBlock, usize> = indexmap::IndexMap::new();
    while blocks.len() < BLOCKS {
        let text = match blocks.len() % 7 {
            0 => {
                let length = [32, 36, 40, 44, 48][rng.random_range(0..5_usize)];
                let bits = u128::from(0x2000_0000_0000_0000 | rng.random::<u64>() >> 3) << 64;
                let mask = u128::MAX << (128 - length);
                format!("{}/{length}", Ipv6Addr::from(bits & mask))
            }
            _ => {
                let length =
                    [16, 19, 20, 21, 22, 22, 23, 24, 24, 24][rng.random_range(0..10_usize)];
                let mask = u32::MAX << (32 - length);
                format!("{}/{length}", Ipv4Addr::from(rng.random::<u32>() & mask))
            }
        };
        if let Ok(block) = text.parse() {
            blocks.insert(block, rng.random_range(0..GROUPS));
        }
    }
    let rows = blocks.iter().map(|(block, group)| (*block, names[*group].as_str()));
    BlockTable::new(rows).unwrap_or_default()
}

fn blocks(criterion: &mut Criterion) {
    let table = block_table();
    println!(
        "{} blocks, {:.2} bytes a block",
        table.len(),
        table.bytes() as f64 / table.len() as f64
    );
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let addresses: Vec<IpAddr> = (0..1_000_000)
        .map(|index| match index % 7 {
            0 => {
                let bits = u128::from(0x2000_0000_0000_0000 | rng.next_u64() >> 3) << 64;
                IpAddr::V6(Ipv6Addr::from(bits))
            }
            _ => IpAddr::V4(Ipv4Addr::from(rng.next_u32())),
        })
        .collect();
    let mut group = criterion.benchmark_group("blocks");
    group.throughput(Throughput::Elements(1));
    let mut next = addresses.iter().cycle();
    group.bench_function("look-up", |bencher| {
        bencher.iter(|| table.find_group(*next.next().unwrap_or(&addresses[0])));
    });
    let mut next = addresses[..1_000].iter().cycle();
    group.bench_function("look-up of a thousand callers again and again", |bencher| {
        bencher.iter(|| table.find_group(*next.next().unwrap_or(&addresses[0])));
    });
    let known: Vec<ClientBlock> = table.blocks().map(|(block, _)| block).step_by(97).collect();
    let mut next = known.iter().cycle();
    let mut changed = table.clone();
    group.bench_function("change of one block beside a reader's copy", |bencher| {
        bencher.iter(|| {
            let copy = changed.clone();
            let _ = changed.insert(*next.next().unwrap_or(&known[0]), "group-1");
            copy
        });
    });
    group.finish();
}

criterion_group!(benches, choose, shift, blocks);
criterion_main!(benches);
