//! Encodes requests and replies into their Cap'n Proto form.

use crate::interface::PeerReply;
use crate::interface::PeerRequest;
use crate::mesh::MESSAGE_VERSION;
use crate::mesh::encode_part;
use crate::mesh::mesh_capnp as schema;

/// Encodes a request of the host `from` and the schema version into `builder`.
pub(crate) fn encode_request(
    mut builder: schema::peer_request::Builder<'_>,
    from: &str,
    request: &PeerRequest,
) {
    builder.set_from(from);
    builder.set_version(MESSAGE_VERSION);
    match request {
        PeerRequest::Heartbeat { own, others } => {
            encode_part::heartbeat(builder.init_heartbeat(), own, others);
        }
        PeerRequest::PullChanges { after } => builder.set_pull_changes(*after),
        PeerRequest::PushChanges { changes } => {
            encode_part::changes(builder.init_push_changes(changes.len() as u32), changes);
        }
        PeerRequest::PullState { offset } => builder.set_pull_state(*offset),
        PeerRequest::PullPlans { known } => {
            let mut list = builder.init_pull_plans(known.len() as u32);
            for (index, (domain, epoch)) in known.iter().enumerate() {
                let mut entry = list.reborrow().get(index as u32);
                entry.set_domain(&**domain);
                entry.set_epoch(*epoch);
            }
        }
        PeerRequest::PushPlans { plans } => {
            encode_part::plans(builder.init_push_plans(plans.len() as u32), plans);
        }
        PeerRequest::PushHosts { rows } => {
            encode_part::listed_hosts(builder.init_push_hosts(rows.len() as u32), rows);
        }
        PeerRequest::BorrowTokens { customer, micro_tokens, rate_ppm } => {
            let mut group = builder.init_borrow_tokens();
            group.set_customer(&**customer);
            group.set_micro_tokens(*micro_tokens);
            group.set_rate_ppm(*rate_ppm);
        }
        PeerRequest::LeaseSlots { sequence, wanted } => {
            let mut group = builder.init_lease_slots();
            group.set_sequence(*sequence);
            encode_part::slot_counts(group.init_wanted(wanted.len() as u32), wanted);
        }
        PeerRequest::ReturnSlots { returned } => {
            encode_part::slot_counts(builder.init_return_slots(returned.len() as u32), returned);
        }
        PeerRequest::KeepOutcomes { outcomes } => {
            encode_part::outcomes(builder.init_keep_outcomes(outcomes.len() as u32), outcomes);
        }
    }
}

/// Encodes a reply into `builder`. Refusals are encoded by the server instead, as they are no `PeerReply`.
pub(crate) fn encode_reply(mut builder: schema::peer_reply::Builder<'_>, reply: &PeerReply) {
    match reply {
        PeerReply::Heartbeat { own, others } => {
            encode_part::heartbeat(builder.init_heartbeat(), own, others);
        }
        PeerReply::Changes { changes, latest } => {
            let mut group = builder.init_changes();
            group.set_latest(*latest);
            encode_part::changes(group.init_changes(changes.len() as u32), changes);
        }
        PeerReply::State { revision, encoded, total_bytes } => {
            let mut group = builder.init_state();
            group.set_revision(*revision);
            group.set_encoded(encoded);
            group.set_total_bytes(*total_bytes);
        }
        PeerReply::Plans { plans } => {
            encode_part::plans(builder.init_plans(plans.len() as u32), plans);
        }
        PeerReply::TokensLent { micro_tokens, rate_ppm, term } => {
            let mut group = builder.init_tokens_lent();
            group.set_micro_tokens(*micro_tokens);
            group.set_rate_ppm(*rate_ppm);
            group.set_term_ms(encode_part::millis(*term));
        }
        PeerReply::SlotsLeased { leases } => {
            encode_part::slot_leases(builder.init_slots_leased(leases.len() as u32), leases);
        }
        PeerReply::Done => builder.set_done(()),
    }
}
