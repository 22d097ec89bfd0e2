//! Body of a caller's request on its way to one connection.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use tokio::sync::Notify;
use tokio::time::Sleep;

use crate::callers::BodyFault;
use crate::callers::ReplayableUpload;

/// A caller's body of which nothing was sent yet. While it exists, no other connection reads from the caller, so that it
/// stays whole.
pub struct WholeUpload {
    upload: Arc<ReplayableUpload>,
    reader: u32,
}

/// Whether a connection has taken the whole body of its request.
#[derive(Debug, Default)]
pub struct TransferRecord {
    is_complete: AtomicBool,
    ended: Notify,
}

/// Tells when a connection takes no more of a body, also if it was closed.
struct TransferGuard(Arc<TransferRecord>);

impl Drop for TransferGuard {
    fn drop(&mut self) {
        self.0.ended.notify_one();
    }
}

/// Request body as one connection reads it: first the buffered parts, then the rest from the caller.
pub struct UploadBody {
    upload: Arc<ReplayableUpload>,
    reader: u32,
    replayed_parts: usize,
    sent_bytes: u64,
    transfer: TransferGuard,
    idle_timer: Pin<Box<Sleep>>,
}

impl WholeUpload {
    pub(super) fn new(upload: Arc<ReplayableUpload>, reader: u32) -> Self {
        Self { upload, reader }
    }

    /// Reads the body until its digest is known, and keeps what was read.
    ///
    /// # Errors
    ///
    /// Fails with the reason why the body ended early.
    pub async fn read_digest(&self) -> Result<u64, BodyFault> {
        std::future::poll_fn(|context| {
            loop {
                if let Some(digest) = self.upload.digest() {
                    return Poll::Ready(Ok(digest));
                }
                if let Some(Err(fault)) =
                    std::task::ready!(self.upload.poll_buffered(self.reader, context))
                {
                    return Poll::Ready(Err(fault));
                }
            }
        })
        .await
    }

    /// Whether only the coding of the body can tell where it ends.
    pub(super) fn needs_chunks(&self) -> bool {
        !self.upload.is_empty() && self.upload.exact_bytes().is_none()
    }

    /// Body for a connection, with the record that tells when the connection has taken all of it.
    pub(super) fn into_body(self) -> (UploadBody, Arc<TransferRecord>) {
        let transfer = Arc::<TransferRecord>::default();
        transfer.is_complete.store(self.upload.is_empty(), Ordering::Relaxed);
        let body = UploadBody {
            idle_timer: Box::pin(tokio::time::sleep(self.upload.max_pause())),
            upload: self.upload,
            reader: self.reader,
            replayed_parts: 0,
            sent_bytes: 0,
            transfer: TransferGuard(Arc::clone(&transfer)),
        };
        (body, transfer)
    }
}

impl TransferRecord {
    /// Whether the connection has taken the whole body.
    pub fn is_complete(&self) -> bool {
        self.is_complete.load(Ordering::Relaxed)
    }

    /// Waits until the connection takes no more of the body; for a single waiter.
    pub(super) async fn wait_until_ended(&self) {
        if !self.is_complete() {
            self.ended.notified().await;
        }
    }
}

impl UploadBody {
    /// The body as it was before it was handed to a connection that took nothing of it.
    pub(super) fn into_whole(self) -> WholeUpload {
        debug_assert_eq!(
            self.sent_bytes, 0,
            "a connection returned a body of which it took a part"
        );
        WholeUpload { upload: self.upload, reader: self.reader }
    }

    fn record_sent(&mut self, data: &Bytes) {
        self.sent_bytes += data.len() as u64;
        self.idle_timer.as_mut().reset(tokio::time::Instant::now() + self.upload.max_pause());
        if self.is_end_stream() {
            self.record_end();
        }
    }

    fn record_end(&self) {
        self.transfer.0.is_complete.store(true, Ordering::Relaxed);
        self.transfer.0.ended.notify_one();
    }
}

impl Body for UploadBody {
    type Data = Bytes;
    type Error = BodyFault;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyFault>>> {
        let body = self.get_mut();
        let buffered = body.upload.lock().buffered_part(body.reader, body.replayed_parts);
        match buffered {
            Ok(Some(data)) => {
                body.replayed_parts += 1;
                body.record_sent(&data);
                return Poll::Ready(Some(Ok(Frame::data(data))));
            }
            Ok(None) => {}
            Err(fault) => return Poll::Ready(Some(Err(fault))),
        }
        match body.upload.poll_sent(body.reader, context) {
            Poll::Ready(Some(Ok(data))) => {
                body.replayed_parts = body.upload.lock().buffered_parts();
                body.record_sent(&data);
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            Poll::Ready(Some(Err(fault))) => Poll::Ready(Some(Err(fault))),
            Poll::Ready(None) => {
                body.record_end();
                Poll::Ready(None)
            }
            Poll::Pending => {
                std::task::ready!(body.idle_timer.as_mut().poll(context));
                body.upload.lock().fail(body.reader, BodyFault::Stalled);
                Poll::Ready(Some(Err(BodyFault::Stalled)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.upload.lock().is_read(self.reader, self.replayed_parts)
    }

    fn size_hint(&self) -> SizeHint {
        match self.upload.exact_bytes() {
            Some(size) => SizeHint::with_exact(size.saturating_sub(self.sent_bytes)),
            None => SizeHint::default(),
        }
    }
}
