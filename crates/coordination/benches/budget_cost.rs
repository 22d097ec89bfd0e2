//! Measures the cost of decisions on tokens, slots, queues and floors. Run with `cargo bench --bench budget_cost`.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use coordination::customer_budget::CustomerBudget;
use coordination::customer_budget::RateLimit;
use coordination::fair_queue::EntryParams;
use coordination::fair_queue::FairQueue;
use coordination::fair_queue::QueueBounds;
use coordination::floor_plan::FloorPlan;
use coordination::floor_share::FloorKind;
use coordination::floor_share::floor_holder;
use coordination::floor_share::sharing_domains;
use coordination::ids::DomainId;
use coordination::slot_ledger::SlotLedger;
use coordination::token_bucket::MICRO_TOKENS;
use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use indexmap::IndexMap;

const BOUNDS: QueueBounds =
    QueueBounds { per_customer: 64, total: 4_096, longest_wait: Duration::from_secs(60) };

fn spend(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("spend_over_customers");
    for customers in [8usize, 80, 800] {
        let start = Instant::now();
        let limit = RateLimit { rate: u64::MAX / 4, burst: u64::MAX / 4 };
        let mut budgets: IndexMap<Box<str>, CustomerBudget> = IndexMap::new();
        for customer in 0..customers {
            let mut budget = CustomerBudget::new(start);
            budget.set_floor(limit, limit, start);
            budgets.insert(format!("customer-{customer}").into(), budget);
        }
        let names: Vec<Box<str>> = budgets.keys().cloned().collect();
        let mut turn = 0;
        group.bench_function(BenchmarkId::from_parameter(customers), |bench| {
            bench.iter(|| {
                turn = (turn + 7) % names.len();
                let now = start + Duration::from_secs(1);
                budgets.get_mut(&names[turn]).map(|budget| budget.spend(MICRO_TOKENS, now))
            });
        });
    }
    group.finish();
}

fn lend_slots(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("lend_slots_over_borrowers");
    for borrowers in [1u64, 10, 100] {
        let mut ledger = SlotLedger::new(1_000);
        let names: Vec<String> = (0..borrowers).map(|host| format!("host-{host}")).collect();
        let mut sequence = 0;
        group.bench_function(BenchmarkId::from_parameter(borrowers), |bench| {
            bench.iter(|| {
                sequence += 1;
                let name = &names[(sequence % borrowers) as usize];
                black_box(ledger.lend(name, sequence, 2, 4))
            });
        });
    }
    group.finish();
}

fn queue(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("push_and_pop_over_waiting_customers");
    for customers in [8usize, 80, 800] {
        let now = Instant::now();
        let deadline = now + Duration::from_secs(60);
        let params = |customer: usize| EntryParams {
            customer: format!("customer-{customer}").into(),
            weight: 1,
            class: 1,
            deadline,
        };
        let mut queue = FairQueue::new(BOUNDS);
        for customer in 0..customers {
            let _ = queue.push(customer, params(customer), now);
        }
        let all_params: Vec<_> = (0..customers).map(params).collect();
        group.bench_function(BenchmarkId::from_parameter(customers), |bench| {
            bench.iter(|| {
                let customer = queue.pop(now).unwrap_or_default();
                let _ = queue.push(customer, all_params[customer].clone(), now);
            });
        });
    }
    group.finish();
}

fn floors(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("floor_of_a_target_over_holders");
    for holders in [2u64, 30] {
        let table = (0..holders).map(|host| (format!("host-{host}").into(), 1)).collect();
        let plan = FloorPlan::first("domain".into(), table);
        group.bench_function(BenchmarkId::from_parameter(holders), |bench| {
            bench.iter(|| black_box(floor_holder(&plan, FloorKind::Slots, "target-1").is_some()));
        });
    }
    group.finish();
    let mut group = criterion.benchmark_group("cut_of_a_customer_over_domains");
    for domains in [6usize, 108] {
        let names: Vec<DomainId> = (0..domains).map(|name| format!("d-{name}").into()).collect();
        group.bench_function(BenchmarkId::from_parameter(domains), |bench| {
            bench.iter(|| {
                black_box(sharing_domains(names.iter(), FloorKind::Tokens, "customer-1", 100).len())
            });
        });
    }
    group.finish();
}

criterion_group! {
    name = costs;
    config = Criterion::default()
        .warm_up_time(Duration::from_millis(200))
        .measurement_time(Duration::from_millis(800))
        .sample_size(20);
    targets = spend, lend_slots, queue, floors
}
criterion_main!(costs);
