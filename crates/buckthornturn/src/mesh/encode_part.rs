//! Encodes the structures that messages contain.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

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

pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn address(mut builder: schema::socket_address::Builder<'_>, address: SocketAddr) {
    let bits = match address.ip() {
        IpAddr::V4(ip) => ip.to_ipv6_mapped().to_bits(),
        IpAddr::V6(ip) => ip.to_bits(),
    };
    builder.set_high((bits >> 64) as u64);
    builder.set_low(bits as u64);
    builder.set_port(address.port());
}

pub(crate) fn heartbeat(
    mut builder: schema::heartbeat::Builder<'_>,
    own: &Heartbeat,
    others: &[HeardHeartbeat],
) {
    builder.set_host(&*own.host);
    builder.set_incarnation(own.incarnation);
    builder.set_failure_domain(&*own.failure_domain);
    builder.set_region(&*own.region);
    address(builder.reborrow().init_callers(), own.callers);
    address(builder.reborrow().init_mesh(), own.mesh);
    builder.set_revision(own.revision);
    builder.set_leaving(own.leaving);
    builder.set_confirmed(own.confirmation_age.is_some());
    builder.set_confirmation_age_ms(own.confirmation_age.map_or(0, millis));
    builder.set_store_reached(own.store_reached);
    builder.set_plan_shrunk(own.plan_shrunk);
    builder.set_plan_digest(own.plan_digest);
    if others.is_empty() {
        return;
    }
    let mut list = builder.init_others(others.len() as u32);
    for (index, other) in others.iter().enumerate() {
        let mut entry = list.reborrow().get(index as u32);
        entry.set_age_ms(millis(other.age));
        heartbeat(entry.init_heartbeat(), &other.heartbeat, &[]);
    }
}

pub(crate) fn listed_hosts(
    mut list: capnp::struct_list::Builder<'_, schema::listed_host::Owned>,
    rows: &[ListedHost],
) {
    for (index, row) in rows.iter().enumerate() {
        let mut entry = list.reborrow().get(index as u32);
        entry.set_host(&*row.host);
        entry.set_failure_domain(&*row.failure_domain);
        entry.set_region(&*row.region);
        address(entry.reborrow().init_mesh(), row.mesh);
        entry.set_leaving(row.leaving);
    }
}

pub(crate) fn changes(
    mut list: capnp::struct_list::Builder<'_, schema::change::Owned>,
    changes: &[WireChange],
) {
    for (index, change) in changes.iter().enumerate() {
        let mut entry = list.reborrow().get(index as u32);
        entry.set_revision(change.revision);
        entry.set_encoded(&change.encoded);
    }
}

fn holders(
    mut list: capnp::struct_list::Builder<'_, schema::holder_entry::Owned>,
    holders: &IndexMap<HostId, Incarnation>,
) {
    for (index, (host, incarnation)) in holders.iter().enumerate() {
        let mut entry = list.reborrow().get(index as u32);
        entry.set_host(&**host);
        entry.set_incarnation(*incarnation);
    }
}

pub(crate) fn plans(
    mut list: capnp::struct_list::Builder<'_, schema::floor_plan::Owned>,
    plans: &[FloorPlan],
) {
    for (index, plan) in plans.iter().enumerate() {
        let mut entry = list.reborrow().get(index as u32);
        entry.set_domain(&*plan.domain);
        entry.set_epoch(plan.epoch);
        holders(entry.reborrow().init_holders(plan.holders.len() as u32), &plan.holders);
        holders(entry.reborrow().init_awaited(plan.awaited.len() as u32), &plan.awaited);
        holders(entry.reborrow().init_gone(plan.gone.len() as u32), &plan.gone);
    }
}

pub(crate) fn slot_counts(
    mut list: capnp::struct_list::Builder<'_, schema::slot_count::Owned>,
    counts: &[(TargetId, u32)],
) {
    for (index, (target, slots)) in counts.iter().enumerate() {
        let mut entry = list.reborrow().get(index as u32);
        entry.set_target(&**target);
        entry.set_slots(*slots);
    }
}

pub(crate) fn slot_leases(
    mut list: capnp::struct_list::Builder<'_, schema::slot_lease::Owned>,
    leases: &[SlotLease],
) {
    for (index, lease) in leases.iter().enumerate() {
        let mut entry = list.reborrow().get(index as u32);
        entry.set_target(&*lease.target);
        entry.set_slots(lease.slots);
        entry.set_epoch(lease.epoch);
        entry.set_term_ms(millis(lease.term));
    }
}

pub(crate) fn outcomes(
    mut list: capnp::struct_list::Builder<'_, schema::outcome_entry::Owned>,
    outcomes: &[OutcomeEntry],
) {
    for (index, outcome) in outcomes.iter().enumerate() {
        let mut entry = list.reborrow().get(index as u32);
        entry.set_ticket(&*outcome.ticket);
        entry.set_encoded(&outcome.encoded);
        entry.set_expires_in_ms(millis(outcome.expires_in));
    }
}
