//! Decodes the entries that targets write about themselves to the platform's store.

use std::net::SocketAddr;
use std::time::Duration;

use coordination::fleet::TargetEntry;
use coordination::fleet::TargetState;
use coordination::ids::DomainId;
use coordination::ids::RegionId;
use indexmap::IndexMap;
use serde::Deserialize;
use serde_json::Value;

use super::store_answer::MAX_NAME_BYTES;
use super::whole_number::whole_number;

#[derive(Deserialize)]
struct TargetBody {
    address: SocketAddr,
    /// Start time of the target in Unix milliseconds; 0 for targets that do not report it.
    #[serde(default, deserialize_with = "whole_number")]
    born: u64,
    info: InfoBody,
    status: StatusBody,
}

#[derive(Deserialize)]
struct InfoBody {
    backend_service: Box<str>,
    zone: Box<str>,
    #[serde(deserialize_with = "whole_number")]
    slots: u32,
}

#[derive(Deserialize)]
struct StatusBody {
    state: Box<str>,
    /// Remaining time for which the target is slower because it started recently.
    #[serde(default, deserialize_with = "whole_number")]
    cold_remaining_ms: u64,
}

/// Decodes a target's entry. `regions` maps each failure domain to its region.
///
/// # Errors
///
/// Returns the path of the invalid field and the reason: a wrong type, an unknown state or failure domain, or no slots.
pub fn decode_target(
    name: &str,
    entry: &Value,
    regions: &IndexMap<DomainId, RegionId>,
) -> Result<TargetEntry, Box<str>> {
    let body: TargetBody = serde_path_to_error::deserialize(entry)
        .map_err(|error| format!("{}: {}", error.path(), error.inner()))?;
    let state = match &*body.status.state {
        "ready" => TargetState::Ready,
        "draining" => TargetState::Draining,
        state => return Err(format!("status.state: `{state}` is unknown").into()),
    };
    let region = regions
        .get(&body.info.zone)
        .ok_or_else(|| format!("info.zone: `{}` is unknown", body.info.zone))?;
    if body.info.backend_service.len() > MAX_NAME_BYTES {
        return Err(format!("info.backend_service: longer than {MAX_NAME_BYTES} bytes").into());
    }
    if body.info.slots == 0 {
        return Err("info.slots: must be at least 1".into());
    }
    Ok(TargetEntry {
        target: name.into(),
        started_at: body.born,
        service: body.info.backend_service,
        address: body.address,
        region: region.clone(),
        failure_domain: body.info.zone,
        slots: body.info.slots,
        state,
        cold_for: Duration::from_millis(body.status.cold_remaining_ms),
    })
}
