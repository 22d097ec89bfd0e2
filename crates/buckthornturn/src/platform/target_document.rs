//! Entries that targets write of themselves.

use std::net::SocketAddr;
use std::time::Duration;

use coordination::fleet::TargetEntry;
use coordination::fleet::TargetState;
use coordination::ids::DomainId;
use coordination::ids::RegionId;
use indexmap::IndexMap;
use serde::Deserialize;
use serde_json::Value;

#[derive(Deserialize)]
struct TargetBody {
    address: SocketAddr,
    /// Unix millisecond of the target's start; absent in entries of targets that never say it.
    #[serde(default)]
    born: u64,
    info: InfoBody,
    status: StatusBody,
}

#[derive(Deserialize)]
struct InfoBody {
    backend_service: Box<str>,
    zone: Box<str>,
    slots: u32,
}

#[derive(Deserialize)]
struct StatusBody {
    state: Box<str>,
    /// Time for which the target stays slow after its start.
    #[serde(default)]
    cold_remaining_ms: u64,
}

/// Reads a target's entry. `regions` has the region of each failure domain.
///
/// # Errors
///
/// Says why the entry names no target that can be used.
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
    if body.info.slots == 0 {
        return Err("info.slots: 0 takes no request".into());
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
