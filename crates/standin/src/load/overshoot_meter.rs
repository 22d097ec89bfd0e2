//! Measures by how many requests a customer exceeded its rate and burst.

use std::time::Duration;

/// Returns the largest number of requests beyond `burst + rate * window` that were certainly admitted within one window
/// of time. `spans` holds the start and end of each admitted request. A request counts for the windows that contain its
/// whole span, as the moment of admission inside the span is unknown.
pub fn peak_overshoot(rate: f64, burst: f64, spans: &[(Duration, Duration)]) -> f64 {
    let mut ends: Vec<f64> = spans.iter().map(|(_, end)| end.as_secs_f64()).collect();
    ends.sort_by(f64::total_cmp);
    let mut starts: Vec<_> =
        spans.iter().map(|(start, end)| (start.as_secs_f64(), end.as_secs_f64())).collect();
    starts.sort_by(|left, right| right.0.total_cmp(&left.0));
    let mut tree = ExcessTree::new(ends.iter().map(|end| -rate * end));
    let mut peak: f64 = 0.0;
    for (start, end) in starts {
        let rank = ends.partition_point(|other| *other < end);
        tree.increment_from(rank);
        peak = peak.max(tree.max_from(rank) + rate * start - burst);
    }
    peak
}

/// Segment tree that adds one to all values from a rank on, and finds the maximum of all values from a rank on.
struct ExcessTree {
    leaf_count: usize,
    maxima: Vec<f64>,
    additions: Vec<f64>,
}

impl ExcessTree {
    fn new(values: impl ExactSizeIterator<Item = f64>) -> Self {
        let leaf_count = values.len().next_power_of_two().max(1);
        let mut maxima = vec![f64::NEG_INFINITY; 2 * leaf_count];
        for (index, value) in values.enumerate() {
            maxima[leaf_count + index] = value;
        }
        for node in (1..leaf_count).rev() {
            maxima[node] = maxima[2 * node].max(maxima[2 * node + 1]);
        }
        Self { leaf_count, maxima, additions: vec![0.0; 2 * leaf_count] }
    }

    fn increment_from(&mut self, rank: usize) {
        self.increment(1, 0, self.leaf_count, rank);
    }

    fn increment(&mut self, node: usize, low: usize, high: usize, rank: usize) {
        match node {
            _ if high <= rank => {}
            _ if low >= rank => {
                self.maxima[node] += 1.0;
                self.additions[node] += 1.0;
            }
            _ => {
                let middle = (low + high) / 2;
                self.increment(2 * node, low, middle, rank);
                self.increment(2 * node + 1, middle, high, rank);
                let below = self.maxima[2 * node].max(self.maxima[2 * node + 1]);
                self.maxima[node] = below + self.additions[node];
            }
        }
    }

    fn max_from(&self, rank: usize) -> f64 {
        self.max(1, 0, self.leaf_count, rank)
    }

    fn max(&self, node: usize, low: usize, high: usize, rank: usize) -> f64 {
        match node {
            _ if high <= rank => f64::NEG_INFINITY,
            _ if low >= rank => self.maxima[node],
            _ => {
                let middle = (low + high) / 2;
                let left = self.max(2 * node, low, middle, rank);
                let right = self.max(2 * node + 1, middle, high, rank);
                left.max(right) + self.additions[node]
            }
        }
    }
}
