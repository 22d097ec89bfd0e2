//! The example deployments that a stand-in can run.

use std::str::FromStr;
use std::time::Duration;

use buckthornturn::configuration::ConfigObject;
use serde::Deserialize;
use serde::Serialize;

use crate::deployment::DeploymentError;

/// An example deployment under `examples/`, whose configuration is compiled into the binary.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DeploymentKind {
    /// The deployment in `examples/heredia`.
    #[default]
    Heredia,
    /// The deployment in `examples/shrestha-sunar`.
    ShresthaSunar,
}

#[derive(Deserialize)]
struct ConfigurationFile {
    objects: Vec<ConfigObject>,
}

impl DeploymentKind {
    /// Returns the name of the deployment on the command line and in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Heredia => "heredia",
            Self::ShresthaSunar => "shrestha-sunar",
        }
    }

    /// Parses the configuration of the example and returns its objects, in the order of the file.
    ///
    /// # Errors
    ///
    /// Fails if the configuration file cannot be parsed.
    pub fn objects(self) -> Result<Vec<ConfigObject>, DeploymentError> {
        let text = match self {
            Self::Heredia => include_str!("../../../../examples/heredia/configuration.jsonc"),
            Self::ShresthaSunar => {
                include_str!("../../../../examples/shrestha-sunar/configuration.jsonc")
            }
        };
        let file: ConfigurationFile = jsonc_parser::parse_to_serde_value(text, &Default::default())
            .map_err(|error| DeploymentError::Configuration { reason: error.to_string().into() })?;
        Ok(file.objects)
    }

    /// Returns the one-way latency between failure domains of the same region.
    pub fn domain_latency(self) -> Duration {
        match self {
            Self::Heredia => Duration::from_micros(1_000),
            Self::ShresthaSunar => Duration::from_micros(500),
        }
    }

    /// Returns the one-way latency between regions.
    pub fn region_latency(self) -> Duration {
        match self {
            Self::Heredia => Duration::from_millis(20),
            Self::ShresthaSunar => Duration::from_millis(12),
        }
    }
}

impl FromStr for DeploymentKind {
    type Err = Box<str>;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "heredia" => Ok(Self::Heredia),
            "shrestha-sunar" => Ok(Self::ShresthaSunar),
            _ => {
                Err(format!("unknown deployment `{text}`; expected heredia or shrestha-sunar")
                    .into())
            }
        }
    }
}
