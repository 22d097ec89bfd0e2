//! Decodes requests and replies from their Cap'n Proto form.

use bytes::Bytes;
use coordination::ids::HostId;

use crate::interface::PeerReply;
use crate::interface::PeerRequest;
use crate::mesh::connection_error::ConnectionError;
use crate::mesh::decode_part;
use crate::mesh::mesh_capnp as schema;

/// Decodes a request and the name of the host that sent it.
///
/// # Errors
///
/// Fails if the message is malformed, or of a kind that this binary does not know.
pub(crate) fn decode_request(
    reader: schema::peer_request::Reader<'_>,
) -> capnp::Result<(HostId, PeerRequest)> {
    use schema::peer_request::Which;
    let from = decode_part::text(reader.get_from())?;
    let request = match reader.which()? {
        Which::None(()) => return Err(capnp::Error::unimplemented("empty request".into())),
        Which::Heartbeat(own) => {
            let own = own?;
            PeerRequest::Heartbeat {
                own: decode_part::heartbeat(own)?,
                others: decode_part::others(own)?,
            }
        }
        Which::PullChanges(after) => PeerRequest::PullChanges { after },
        Which::PushChanges(changes) => {
            PeerRequest::PushChanges { changes: decode_part::changes(changes?)? }
        }
        Which::PullState(offset) => PeerRequest::PullState { offset },
        Which::PullPlans(known) => {
            let known = known?
                .iter()
                .map(|entry| Ok((decode_part::text(entry.get_domain())?, entry.get_epoch())))
                .collect::<capnp::Result<_>>()?;
            PeerRequest::PullPlans { known }
        }
        Which::PushPlans(plans) => PeerRequest::PushPlans { plans: decode_part::plans(plans?)? },
        Which::PushHosts(rows) => {
            PeerRequest::PushHosts { rows: decode_part::listed_hosts(rows?)? }
        }
        Which::BorrowTokens(group) => PeerRequest::BorrowTokens {
            customer: decode_part::text(group.get_customer())?,
            micro_tokens: group.get_micro_tokens(),
            rate_ppm: group.get_rate_ppm(),
        },
        Which::LeaseSlots(group) => PeerRequest::LeaseSlots {
            sequence: group.get_sequence(),
            wanted: decode_part::slot_counts(group.get_wanted()?)?,
        },
        Which::ReturnSlots(returned) => {
            PeerRequest::ReturnSlots { returned: decode_part::slot_counts(returned?)? }
        }
        Which::KeepOutcomes(outcomes) => {
            PeerRequest::KeepOutcomes { outcomes: decode_part::outcomes(outcomes?)? }
        }
    };
    Ok((from, request))
}

/// Decodes a reply.
///
/// # Errors
///
/// Fails if the message is malformed or of an unknown kind, or with the reason if the peer refused the request.
pub(crate) fn decode_reply(
    reader: schema::peer_reply::Reader<'_>,
) -> Result<PeerReply, ConnectionError> {
    let protocol_error = |source| ConnectionError::Protocol { source };
    match reader.which().map_err(|error| protocol_error(error.into()))? {
        schema::peer_reply::Which::Refused(reason) => Err(ConnectionError::Refused {
            reason: decode_part::text(reason).map_err(protocol_error)?,
        }),
        which => decode_answer(which).map_err(protocol_error),
    }
}

fn decode_answer(which: schema::peer_reply::WhichReader<'_>) -> capnp::Result<PeerReply> {
    use schema::peer_reply::Which;
    Ok(match which {
        Which::Done(()) => PeerReply::Done,
        Which::Refused(_) => return Err(capnp::Error::failed("refused".into())),
        Which::Heartbeat(own) => {
            let own = own?;
            PeerReply::Heartbeat {
                own: decode_part::heartbeat(own)?,
                others: decode_part::others(own)?,
            }
        }
        Which::Changes(group) => PeerReply::Changes {
            changes: decode_part::changes(group.get_changes()?)?,
            latest: group.get_latest(),
        },
        Which::State(group) => PeerReply::State {
            revision: group.get_revision(),
            encoded: Bytes::copy_from_slice(group.get_encoded()?),
            total_bytes: group.get_total_bytes(),
        },
        Which::Plans(plans) => PeerReply::Plans { plans: decode_part::plans(plans?)? },
        Which::TokensLent(group) => PeerReply::TokensLent {
            micro_tokens: group.get_micro_tokens(),
            rate_ppm: group.get_rate_ppm(),
            term: decode_part::duration(group.get_term_ms()),
        },
        Which::SlotsLeased(leases) => {
            PeerReply::SlotsLeased { leases: decode_part::slot_leases(leases?)? }
        }
    })
}
