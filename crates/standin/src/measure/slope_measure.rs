//! The interface of measures that are taken at several sizes.

use futures::future::BoxFuture;
use indexmap::IndexMap;
use snafu::Snafu;

use crate::deployment::DeploymentError;

/// Reasons for which a measure cannot be taken.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum MeasureError {
    /// The deployment did not start, or a change was not accepted or did not take effect in time.
    #[snafu(display("the deployment failed"))]
    Deployment {
        /// Error of the deployment.
        source: DeploymentError,
    },
    /// The usage of this process cannot be read, or a host or change of the measured fleet failed.
    #[snafu(display("cannot take the measure: {reason}"))]
    Failed {
        /// Text of the error.
        reason: Box<str>,
    },
}

/// Quantities measured at one size.
#[derive(Clone, Debug, Default)]
pub struct MeasuredPoint {
    /// Size at which the quantities were measured; [`SlopeMeasure::axis`] says what it counts.
    pub size: f64,
    /// Values by the name of the quantity, which includes its unit.
    pub values: IndexMap<Box<str>, f64>,
}

/// A measure that is taken at several sizes.
pub trait SlopeMeasure: Send + Sync {
    /// Returns the name that is printed and that `--only` selects.
    fn name(&self) -> &'static str;

    /// Returns what the size counts, for the printed heading.
    fn axis(&self) -> &'static str;

    /// Takes the measure at each size. Every point has the same quantities in the same order.
    fn measure_points(&self) -> BoxFuture<'_, Result<Vec<MeasuredPoint>, MeasureError>>;
}
