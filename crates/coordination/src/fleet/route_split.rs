//! The split of a route's requests over several services by weight.

/// Smooth weighted round robin: after any number of draws each part has its share, up to one request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteSplit {
    credits: Vec<f64>,
}

impl RouteSplit {
    /// Index of the part that gets the next request; `None` if no part has a weight.
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
