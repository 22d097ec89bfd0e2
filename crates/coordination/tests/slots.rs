//! Slots of a target under lost, duplicated and overtaken messages, pauses and deaths of borrowers.

use std::time::Duration;
use std::time::Instant;

use coordination::held_slots::HeldSlots;
use coordination::lease_term::LEASE_TERM;
use coordination::slot_ledger::SlotLedger;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

const BORROWERS: usize = 3;
const NAMES: [&str; BORROWERS] = ["north", "south", "west"];

#[derive(Clone, Debug)]
enum Step {
    Wait { millis: u64 },
    OwnStart,
    OwnFinish,
    Start { borrower: usize },
    Finish { borrower: usize },
    Ask { borrower: usize, wanted: u32, limit: u32, copies: usize },
    Deliver { message: usize },
    Lose { message: usize },
    Die { borrower: usize },
    Release,
}

#[derive(Clone, Debug)]
enum Message {
    Lease { borrower: usize, sequence: u64, wanted: u32, limit: u32, sent_at: Instant },
    Leased { borrower: usize, sequence: u64, granted: u32, sent_at: Instant },
}

struct TargetModel {
    now: Instant,
    ledger: SlotLedger,
    held: Vec<HeldSlots>,
    sequences: Vec<u64>,
    messages: Vec<Message>,
    died: Vec<(usize, u64)>,
}

impl TargetModel {
    fn new(total: u32) -> Self {
        let now = Instant::now();
        Self {
            now,
            ledger: SlotLedger::new(total),
            held: vec![HeldSlots::new(now); BORROWERS],
            sequences: vec![0; BORROWERS],
            messages: Vec::new(),
            died: Vec::new(),
        }
    }

    fn filled(&self) -> u32 {
        let borrowed: u32 = self.held.iter().map(HeldSlots::in_flight).sum();
        self.ledger.own_in_flight() + borrowed
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Wait { millis } => self.now += Duration::from_millis(millis),
            Step::OwnStart => drop(self.ledger.start_own_request()),
            Step::OwnFinish => self.ledger.finish_own_request(),
            Step::Start { borrower } => drop(self.held[borrower].start_request(self.now)),
            Step::Finish { borrower } => self.held[borrower].finish_request(),
            Step::Ask { borrower, wanted, limit, copies } => {
                self.sequences[borrower] += 1;
                let request = Message::Lease {
                    borrower,
                    sequence: self.sequences[borrower],
                    wanted: self.held[borrower].request_slots(wanted),
                    limit,
                    sent_at: self.now,
                };
                self.messages.extend(vec![request; copies]);
            }
            Step::Deliver { message } if !self.messages.is_empty() => {
                let index = message % self.messages.len();
                let message = self.messages.swap_remove(index);
                self.deliver(message);
            }
            Step::Lose { message } if !self.messages.is_empty() => {
                let index = message % self.messages.len();
                self.messages.swap_remove(index);
            }
            Step::Release if !self.died.is_empty() => {
                let (borrower, first) = self.died.remove(0);
                self.ledger.release_dead_borrower(NAMES[borrower], first);
            }
            Step::Die { borrower } => {
                self.held[borrower] = HeldSlots::new(self.now);
                self.sequences[borrower] = (self.sequences[borrower] / 1_000 + 1) * 1_000;
                let first = self.sequences[borrower];
                self.died.push((borrower, first));
            }
            _ => {}
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Lease { borrower, sequence, wanted, limit, sent_at } => {
                let lent = self.ledger.lend(NAMES[borrower], sequence, wanted, limit);
                if let Some(granted) = lent {
                    let reply = Message::Leased { borrower, sequence, granted, sent_at };
                    self.messages.push(reply);
                }
            }
            Message::Leased { borrower, sequence, granted, sent_at } => {
                if sequence == self.sequences[borrower] {
                    self.held[borrower].record_grant(granted, sent_at + LEASE_TERM);
                }
            }
        }
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => (0..3_000u64).prop_map(|millis| Step::Wait { millis }),
        3 => Just(Step::OwnStart),
        2 => Just(Step::OwnFinish),
        6 => (0..BORROWERS).prop_map(|borrower| Step::Start { borrower }),
        3 => (0..BORROWERS).prop_map(|borrower| Step::Finish { borrower }),
        4 => (0..BORROWERS, 0..6u32, 0..6u32, 1..3usize)
            .prop_map(|(borrower, wanted, limit, copies)| Step::Ask { borrower, wanted, limit, copies }),
        8 => any::<usize>().prop_map(|message| Step::Deliver { message }),
        1 => any::<usize>().prop_map(|message| Step::Lose { message }),
        1 => (0..BORROWERS).prop_map(|borrower| Step::Die { borrower }),
        1 => Just(Step::Release),
    ]
}

proptest! {
    #![proptest_config(Config {
        cases: 512, rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..Config::default()
    })]

    #[test]
    fn hosts_together_never_fill_more_than_the_slots(
        total in 1..7u32,
        steps in prop::collection::vec(step(), 1..300),
    ) {
        let mut target = TargetModel::new(total);
        for step in steps {
            target.run(step);
            prop_assert!(target.filled() <= total, "{} of {total} filled", target.filled());
        }
    }
}

#[test]
fn a_borrower_paused_past_the_term_starts_nothing() {
    let mut target = TargetModel::new(4);
    target.run(Step::Ask { borrower: 0, wanted: 2, limit: 4, copies: 1 });
    target.run(Step::Deliver { message: 0 });
    target.run(Step::Deliver { message: 0 });
    target.run(Step::Start { borrower: 0 });
    assert_eq!(target.filled(), 1);
    target.run(Step::Wait { millis: 2_000 });
    target.run(Step::Start { borrower: 0 });
    assert_eq!(target.filled(), 1);
}

#[test]
fn a_filled_slot_is_not_lent_again_when_the_term_ends() {
    let mut target = TargetModel::new(1);
    target.run(Step::Ask { borrower: 0, wanted: 1, limit: 1, copies: 1 });
    target.run(Step::Deliver { message: 0 });
    target.run(Step::Deliver { message: 0 });
    target.run(Step::Start { borrower: 0 });
    target.run(Step::Wait { millis: 60_000 });
    target.run(Step::OwnStart);
    assert_eq!(target.filled(), 1);
}
