//! Time of a steering look-up and of a membership change, by number of hosts and failure domains.

use std::hint::black_box;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use buckthornturn::callers::SteerHost;
use buckthornturn::configuration::ConfigurationCell;
use buckthornturn::interface::MemberEntry;
use buckthornturn::interface::MemberHealth;
use buckthornturn::interface::MemberView;
use buckthornturn::interface::SteerLookup;
use buckthornturn::interface::SteerSource;
use buckthornturn::steering::CallerSteering;
use buckthornturn::steering::SteeringPlan;
use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;

fn member(index: usize, domains: usize) -> MemberEntry {
    let address = SocketAddr::from(([127, 0, 0, 1], 1_024 + index as u16));
    MemberEntry {
        host: format!("host-{index}").into(),
        incarnation: 1,
        failure_domain: format!("domain-{}", index % domains).into(),
        region: format!("region-{}", index % domains / 3).into(),
        callers: Some(address),
        mesh: address,
        health: MemberHealth::Live,
        revision: 1,
        heard_ago: None,
        plan_shrunk: 0,
        store_reached: true,
        confirmation_age: None,
    }
}

fn bench_look_up(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("steer look-up");
    for (hosts, domains) in [(10, 6), (320, 12), (320, 108), (3_200, 108)] {
        let own = SteerHost {
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            failure_domain: "domain-0".into(),
            region: "region-0".into(),
        };
        let plan = Arc::new(ArcSwap::from_pointee(SteeringPlan::default()));
        let steering = CallerSteering::new(own, ConfigurationCell::new(), plan);
        let members = (0..hosts).map(|index| member(index, domains)).collect();
        let view = MemberView { members };
        steering.set_members(&view);
        let mut block = 0_u32;
        let name = format!("{hosts} hosts, {domains} domains");
        group.bench_function(BenchmarkId::new("answer", &name), |bencher| {
            bencher.iter(|| {
                block = block.wrapping_add(256);
                let caller = Ipv4Addr::from(block).into();
                steering.steer(black_box(&SteerLookup { service: None, caller }))
            });
        });
        group.bench_function(BenchmarkId::new("change of members", &name), |bencher| {
            bencher.iter(|| steering.set_members(black_box(&view)));
        });
    }
    group.finish();
}

criterion_group!(benches, bench_look_up);
criterion_main!(benches);
