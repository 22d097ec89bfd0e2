//! Decodes the structures that messages contain. Text that is not UTF-8 and invalid pointers are errors.

use std::net::IpAddr;
use std::net::Ipv6Addr;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use coordination::floor_plan::FloorPlan;
use coordination::ids::HostId;
use coordination::ids::Incarnation;
use coordination::ids::TargetId;
use indexmap::IndexMap;

use crate::interface::HeardHeartbeat;
use crate::interface::Heartbeat;
use crate::interface::ListedHost;
use crate::interface::OutcomeEntry;
use crate::interface::SlotLease;
use crate::interface::WireChange;
use crate::mesh::mesh_capnp as schema;

/// Bound on decoded durations: 30 days.
const MAX_DURATION_MILLIS: u64 = 30 * 24 * 60 * 60 * 1_000;

pub(crate) fn text(reader: capnp::Result<capnp::text::Reader<'_>>) -> capnp::Result<Box<str>> {
    Ok(reader?.to_str()?.into())
}

/// Decodes a duration. It is bounded so that adding it to a time cannot overflow.
pub(crate) fn duration(millis: u64) -> Duration {
    Duration::from_millis(millis.min(MAX_DURATION_MILLIS))
}

fn address(reader: schema::socket_address::Reader<'_>) -> SocketAddr {
    let bits = (u128::from(reader.get_high()) << 64) | u128::from(reader.get_low());
    SocketAddr::new(IpAddr::V6(Ipv6Addr::from_bits(bits)).to_canonical(), reader.get_port())
}

pub(crate) fn heartbeat(reader: schema::heartbeat::Reader<'_>) -> capnp::Result<Heartbeat> {
    let age = duration(reader.get_confirmation_age_ms());
    Ok(Heartbeat {
        host: text(reader.get_host())?,
        incarnation: reader.get_incarnation(),
        failure_domain: text(reader.get_failure_domain())?,
        region: text(reader.get_region())?,
        callers: address(reader.get_callers()?),
        mesh: address(reader.get_mesh()?),
        revision: reader.get_revision(),
        leaving: reader.get_leaving(),
        confirmation_age: reader.get_confirmed().then_some(age),
        store_reached: reader.get_store_reached(),
        plan_shrunk: reader.get_plan_shrunk(),
        plan_digest: reader.get_plan_digest(),
    })
}

pub(crate) fn others(reader: schema::heartbeat::Reader<'_>) -> capnp::Result<Vec<HeardHeartbeat>> {
    reader
        .get_others()?
        .iter()
        .map(|entry| {
            let age = duration(entry.get_age_ms());
            Ok(HeardHeartbeat { heartbeat: heartbeat(entry.get_heartbeat()?)?, age })
        })
        .collect()
}

pub(crate) fn listed_hosts(
    list: capnp::struct_list::Reader<'_, schema::listed_host::Owned>,
) -> capnp::Result<Vec<ListedHost>> {
    list.iter()
        .map(|entry| {
            Ok(ListedHost {
                host: text(entry.get_host())?,
                failure_domain: text(entry.get_failure_domain())?,
                region: text(entry.get_region())?,
                mesh: address(entry.get_mesh()?),
                leaving: entry.get_leaving(),
            })
        })
        .collect()
}

pub(crate) fn changes(
    list: capnp::struct_list::Reader<'_, schema::change::Owned>,
) -> capnp::Result<Vec<WireChange>> {
    list.iter()
        .map(|entry| {
            let encoded = Bytes::copy_from_slice(entry.get_encoded()?);
            Ok(WireChange { revision: entry.get_revision(), encoded })
        })
        .collect()
}

fn holders(
    list: capnp::struct_list::Reader<'_, schema::holder_entry::Owned>,
) -> capnp::Result<IndexMap<HostId, Incarnation>> {
    list.iter().map(|entry| Ok((text(entry.get_host())?, entry.get_incarnation()))).collect()
}

pub(crate) fn plans(
    list: capnp::struct_list::Reader<'_, schema::floor_plan::Owned>,
) -> capnp::Result<Vec<FloorPlan>> {
    list.iter()
        .map(|entry| {
            Ok(FloorPlan {
                domain: text(entry.get_domain())?,
                epoch: entry.get_epoch(),
                holders: holders(entry.get_holders()?)?,
                awaited: holders(entry.get_awaited()?)?,
                gone: holders(entry.get_gone()?)?,
            })
        })
        .collect()
}

pub(crate) fn slot_counts(
    list: capnp::struct_list::Reader<'_, schema::slot_count::Owned>,
) -> capnp::Result<Vec<(TargetId, u32)>> {
    list.iter().map(|entry| Ok((text(entry.get_target())?, entry.get_slots()))).collect()
}

pub(crate) fn slot_leases(
    list: capnp::struct_list::Reader<'_, schema::slot_lease::Owned>,
) -> capnp::Result<Vec<SlotLease>> {
    list.iter()
        .map(|entry| {
            Ok(SlotLease {
                target: text(entry.get_target())?,
                slots: entry.get_slots(),
                epoch: entry.get_epoch(),
                term: duration(entry.get_term_ms()),
            })
        })
        .collect()
}

pub(crate) fn outcomes(
    list: capnp::struct_list::Reader<'_, schema::outcome_entry::Owned>,
) -> capnp::Result<Vec<OutcomeEntry>> {
    list.iter()
        .map(|entry| {
            Ok(OutcomeEntry {
                ticket: text(entry.get_ticket())?,
                encoded: Bytes::copy_from_slice(entry.get_encoded()?),
                expires_in: duration(entry.get_expires_in_ms()),
            })
        })
        .collect()
}
