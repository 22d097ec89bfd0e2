//! What callers of a route received in a simulation of routes that share targets.

/// What callers of a route received.
#[derive(Clone, Debug, Default)]
pub struct RouteReport {
    /// Callers' requests.
    pub asked: u32,
    /// Answered within the objective.
    pub timely: u32,
    /// Answered later.
    pub late: u32,
    /// Refused, or not answered before the deadline.
    pub refused: u32,
    /// Worth of the answers.
    pub worth: f64,
    /// Requests, and timely answers among them, by customer.
    pub customers: Vec<(u32, u32)>,
    /// Requests, and timely answers among them, of callers that came during the burst.
    pub burst: (u32, u32),
}

impl RouteReport {
    /// Share of requests answered within the objective.
    pub fn timely_share(&self) -> f64 {
        f64::from(self.timely) / f64::from(self.asked.max(1))
    }

    /// Share of requests answered at all.
    pub fn served_share(&self) -> f64 {
        f64::from(self.timely + self.late) / f64::from(self.asked.max(1))
    }

    /// Share of requests answered within the objective, of callers that came during the burst.
    pub fn burst_share(&self) -> f64 {
        f64::from(self.burst.1) / f64::from(self.burst.0.max(1))
    }

    /// Lowest and highest share of a customer.
    pub fn customer_bounds(&self) -> (f64, f64) {
        let shares = self.customer_shares();
        shares.fold((1.0, 0.0), |(low, high), share| (share.min(low), share.max(high)))
    }

    /// Shares of requests answered within the objective, by customer.
    pub fn customer_shares(&self) -> impl Iterator<Item = f64> {
        self.customers.iter().map(|(asked, timely)| f64::from(*timely) / f64::from(*asked.max(&1)))
    }
}
