//! Two hosts of one failure domain share a customer's rate and a target's slots. The crate has no network code: the
//! program that embeds it transports the messages, which here are plain function calls.

use std::time::Duration;
use std::time::Instant;

use coordination::customer_budget::CustomerBudget;
use coordination::customer_budget::RateLimit;
use coordination::customer_budget::TokenLoan;
use coordination::floor_ledger::FloorLedger;
use coordination::floor_plan::FloorPlan;
use coordination::floor_share::FloorKind;
use coordination::slot_ledger::SlotLedger;
use coordination::token_bucket::MICRO_TOKENS;

const LOAN_TERM: Duration = Duration::from_millis(100);

fn main() {
    let now = Instant::now();
    let plan = FloorPlan::first("a".into(), [("ana".into(), 1), ("ben".into(), 1)].into());
    let mut ana = FloorLedger::new("a".into(), "ana".into(), 1);
    let mut ben = FloorLedger::new("a".into(), "ben".into(), 1);
    ana.advance(plan.clone(), now);
    ben.advance(plan, now);

    let customers = ["gold", "silver", "copper", "tin"];
    for customer in customers {
        let holds =
            [ana.holds(FloorKind::Tokens, customer), ben.holds(FloorKind::Tokens, customer)];
        println!("{customer}: ana holds {}, ben holds {}", holds[0], holds[1]);
    }

    // One host holds the whole floor; the other borrows tokens for a burst of requests.
    let limit = RateLimit::from_tokens(10.0, 4.0);
    let (mut holder, mut borrower) = (CustomerBudget::new(now), CustomerBudget::new(now));
    holder.set_floor(limit, limit, now);
    borrower.set_floor(limit, RateLimit::default(), now);
    let later = now + Duration::from_secs(1);
    let asked = TokenLoan { micro_tokens: 2 * MICRO_TOKENS, rate_ppm: 0, term: LOAN_TERM };
    let loan = holder.lend(asked, 0, 0, later);
    borrower.receive_loan(loan, later, later);
    let spend = |budget: &mut CustomerBudget| {
        std::iter::repeat_with(|| budget.spend(MICRO_TOKENS, later)).take_while(|ok| *ok).count()
    };
    println!("borrower spends {}, holder spends {}", spend(&mut borrower), spend(&mut holder));

    // Lent slots of a target count as in use until the borrower reports that it holds fewer.
    let mut slots = SlotLedger::new(4);
    let lent = slots.lend("ben", 1, 3, 3).unwrap_or(0);
    println!("lent {lent}, free {}", slots.free());
    slots.lend("ben", 2, 1, 3);
    println!("after ben gave two back: free {}", slots.free());
}
