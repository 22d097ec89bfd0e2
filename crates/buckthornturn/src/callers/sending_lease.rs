//! Right of a connection to go on sending a caller's body while the answer is passed on.

use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::Handle;

use crate::callers::ReplayableUpload;

/// Longest time for which the rest of a body is read after its answer has ended.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Keeps a body for the connection that sends it: nothing drains the body before this value is dropped.
pub struct SendingLease {
    upload: Arc<ReplayableUpload>,
}

impl SendingLease {
    pub(super) fn new(upload: Arc<ReplayableUpload>) -> Self {
        Self { upload }
    }
}

impl Drop for SendingLease {
    fn drop(&mut self) {
        self.upload.end_lease();
        // A caller's connection that is closed with unread bytes is reset, and may lose the end of the answer.
        if let Ok(runtime) = Handle::try_current() {
            let upload = Arc::clone(&self.upload);
            runtime.spawn(async move { upload.discard_rest(DRAIN_TIMEOUT).await });
        }
    }
}
