//! What can be measured at several sizes.

use futures::future::BoxFuture;
use indexmap::IndexMap;
use snafu::Snafu;

use crate::deployment::DeploymentError;

/// Why a measure could not be taken.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum MeasureError {
    /// The deployment did not start or change.
    #[snafu(display("the deployment failed"))]
    Deployment {
        /// Cause.
        source: DeploymentError,
    },
    /// The system's counts of this process cannot be read.
    #[snafu(display("the usage of this process cannot be read: {reason}"))]
    Usage {
        /// Reason.
        reason: Box<str>,
    },
}

/// Quantities at one size, by name with unit.
#[derive(Clone, Debug, Default)]
pub struct MeasuredPoint {
    /// Size.
    pub size: f64,
    /// Values.
    pub values: IndexMap<Box<str>, f64>,
}

/// Something that is measured at several sizes.
pub trait SlopeMeasure: Send + Sync {
    /// Name.
    fn name(&self) -> &'static str;

    /// What the size counts.
    fn axis(&self) -> &'static str;

    /// Measures at each size. Every point has the same quantities.
    fn measure_points(&self) -> BoxFuture<'_, Result<Vec<MeasuredPoint>, MeasureError>>;
}
