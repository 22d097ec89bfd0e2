//! Errors of running an experiment and writing its report.

use std::io;

use snafu::Snafu;

use crate::deployment::DeploymentError;

/// Reasons for which an experiment is not run or its report is not written.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ExperimentError {
    /// The plan cannot be read, or the report cannot be written.
    #[snafu(display("cannot read or write {path}"))]
    File {
        /// Path of the file or of the directory of reports.
        path: Box<str>,
        /// Error of the system.
        source: io::Error,
    },
    /// The plan is not JSON with comments, or a field is missing or invalid.
    #[snafu(display("{path}: {reason}"))]
    Invalid {
        /// Path of the plan file.
        path: Box<str>,
        /// What is invalid in the plan.
        reason: Box<str>,
    },
    /// The deployment did not start, or a customer got no key.
    #[snafu(display("the deployment did not start"))]
    Deployment {
        /// Error of the part that failed.
        source: DeploymentError,
    },
    /// The chart of the report cannot be drawn.
    #[snafu(display("cannot draw the chart of the report: {reason}"))]
    Picture {
        /// Error of the drawing library or of the file.
        reason: Box<str>,
    },
}
