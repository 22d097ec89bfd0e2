//! RPC server of one incoming connection.

use std::rc::Rc;
use std::sync::Arc;

use capnp::capability;
use tokio::runtime::Handle;
use tokio::sync::Semaphore;

use crate::interface::PeerError;
use crate::interface::PeerReply;
use crate::mesh::MeshCounters;
use crate::mesh::PeerRegistry;
use crate::mesh::RequestKind;
use crate::mesh::decode_message::decode_request;
use crate::mesh::encode_message::encode_reply;
use crate::mesh::mesh_capnp::peer_port;

/// Calls of one connection that may be handled at once; further ones are refused.
const MAX_CALLS_PER_CONNECTION: usize = 64;

/// Size of a message in bytes.
pub(crate) fn size_bytes(size: capnp::MessageSize) -> u64 {
    size.word_count * 8
}

/// Dispatches the calls of one connection to the registered handlers.
pub(crate) struct PortServer {
    registry: PeerRegistry,
    counters: Arc<MeshCounters>,
    runtime: Handle,
    call_permits: Semaphore,
}

impl PortServer {
    pub(crate) fn new(
        registry: PeerRegistry,
        counters: Arc<MeshCounters>,
        runtime: Handle,
    ) -> Self {
        Self { registry, counters, runtime, call_permits: Semaphore::new(MAX_CALLS_PER_CONNECTION) }
    }

    async fn answer_call(
        &self,
        params: &peer_port::CallParams,
    ) -> Result<(RequestKind, PeerReply), Box<str>> {
        let _permit = self.call_permits.try_acquire().map_err(|_| "too many calls at once")?;
        let reader = params.get().and_then(|call| call.get_request()).map_err(error_text)?;
        let (from, request) = decode_request(reader).map_err(error_text)?;
        let kind = RequestKind::of(&request);
        self.counters
            .record_request_received(kind, size_bytes(reader.total_size().map_err(error_text)?));
        let handler = self.registry.handler(kind).ok_or("nothing here answers this kind")?;
        let task = self.runtime.spawn(async move { handler.handle(from, request).await });
        match task.await {
            Ok(Ok(reply)) => Ok((kind, reply)),
            Ok(Err(PeerError::Refused { reason, .. })) => Err(reason),
            Ok(Err(error)) => Err(error.to_string().into()),
            Err(_) => Err("the handler failed".into()),
        }
    }
}

impl peer_port::Server for PortServer {
    async fn call(
        self: capability::Rc<Self>,
        params: peer_port::CallParams,
        mut results: peer_port::CallResults,
    ) -> Result<(), capnp::Error> {
        let answer = Rc::clone(&self).answer_call(&params).await;
        let mut builder = results.get().init_reply();
        match answer {
            Ok((kind, reply)) => {
                encode_reply(builder.reborrow(), &reply);
                let size = builder.into_reader().total_size()?;
                self.counters.record_reply_sent(kind, size_bytes(size));
            }
            Err(reason) => builder.set_refused(&*reason),
        }
        Ok(())
    }
}

fn error_text(error: capnp::Error) -> Box<str> {
    error.to_string().into()
}
