//! Registry of the handlers of peer requests.

use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;

use indexmap::IndexMap;

use crate::interface::PeerHandler;
use crate::mesh::RequestKind;

/// Handlers by kind of request. A request of a kind without a handler is refused. Clones share their handlers.
#[derive(Clone, Default)]
pub struct PeerRegistry {
    handlers: Arc<RwLock<IndexMap<RequestKind, Arc<dyn PeerHandler>>>>,
}

impl PeerRegistry {
    /// Registers a handler for kinds of requests, replacing earlier handlers of these kinds.
    pub fn register(&self, kinds: &[RequestKind], handler: Arc<dyn PeerHandler>) {
        let mut handlers = self.handlers.write().unwrap_or_else(PoisonError::into_inner);
        for kind in kinds {
            handlers.insert(*kind, Arc::clone(&handler));
        }
    }

    /// Handler of a kind of request; `None` if none is registered.
    pub(crate) fn handler(&self, kind: RequestKind) -> Option<Arc<dyn PeerHandler>> {
        self.handlers.read().unwrap_or_else(PoisonError::into_inner).get(&kind).cloned()
    }
}
