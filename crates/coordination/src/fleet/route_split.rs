//! Distribution of a route's requests over several services by weight.

/// Smooth weighted round robin: after any number of draws each service has its share to within one request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteSplit {
    credits: Vec<f64>,
}

impl RouteSplit {
    /// Returns the index of the weight whose service gets the next request; `None` if no weight is above 0. Weights
    /// need not add up to 1.
    pub fn draw(&mut self, weights: &[f64]) -> Option<usize> {
        let total: f64 = weights.iter().sum();
        if total <= 0.0 {
            return None;
        }
        self.credits.resize(weights.len(), 0.0);
        for (credit, weight) in self.credits.iter_mut().zip(weights) {
            *credit += weight / total;
        }
        let heaviest = |a: &usize, b: &usize| self.credits[*a].total_cmp(&self.credits[*b]);
        let index = (0..weights.len()).filter(|index| weights[*index] > 0.0).max_by(heaviest)?;
        self.credits[index] -= 1.0;
        Some(index)
    }
}
