//! Measurements for docs/CAPACITY.md: quantities at several sizes, with a line fitted to them.

mod fleet_scale;
mod process_usage;
mod slope_line;
mod slope_measure;
mod state_fleet;
mod state_scale;

pub use crate::measure::fleet_scale::FleetScale;
pub use crate::measure::process_usage::ProcessUsage;
pub use crate::measure::slope_line::SlopeLine;
pub use crate::measure::slope_measure::MeasureError;
pub use crate::measure::slope_measure::MeasuredPoint;
pub use crate::measure::slope_measure::SlopeMeasure;
pub use crate::measure::state_scale::StateScale;

/// Returns all measures in the order in which they are printed. A new measure is added here.
pub fn all_measures() -> Vec<Box<dyn SlopeMeasure>> {
    vec![Box::new(FleetScale::default()), Box::new(StateScale::default())]
}

/// Runs the measures and prints their points and slopes; with `only`, just those whose names contain that text.
///
/// # Errors
///
/// Fails at the first measure that cannot be taken.
pub async fn run(only: Option<&str>) -> Result<(), MeasureError> {
    for measure in all_measures() {
        if only.is_some_and(|text| !measure.name().contains(text)) {
            continue;
        }
        println!("{}, over {}", measure.name(), measure.axis());
        let points = measure.measure_points().await?;
        let quantities: Vec<_> =
            points.first().map(|point| point.values.keys().cloned().collect()).unwrap_or_default();
        for quantity in quantities {
            let pairs: Vec<_> = points
                .iter()
                .map(|point| (point.size, point.values.get(&quantity).copied().unwrap_or(f64::NAN)))
                .collect();
            let listed: Vec<_> =
                pairs.iter().map(|(size, value)| format!("{size:.0}: {value:.3}")).collect();
            println!("  {quantity:<44} {}", listed.join("  "));
            println!("  {:<44} {}", "", SlopeLine::fit(&pairs));
        }
    }
    Ok(())
}
