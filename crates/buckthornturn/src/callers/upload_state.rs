//! What was received of a caller's body, and who may read on.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Instant;

use bytes::Bytes;
use coordination::buffer_budget::BufferShare;
use coordination::fleet::MAX_DIGESTED_BYTES;
use coordination::fleet::digest_body;
use http_body::Body;

use crate::callers::BodyFault;
use crate::callers::CallerBody;
use crate::callers::part_buffer::PartBuffer;

/// What is known of a caller's body at one moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UploadProgress {
    /// Number of bytes received from the caller.
    pub received_bytes: u64,
    /// Length that the caller announced; `None` if it announced none.
    pub expected_bytes: Option<u64>,
    /// Whether the end of the body was received.
    pub is_complete: bool,
    /// Whether all that was received can be sent once more.
    pub has_start: bool,
}

/// Body of a caller's request with a single reader, the one whose number was given out last.
pub(super) struct UploadState {
    source: CallerBody,
    reader: u32,
    /// Number of buffered parts that the current reader has sent.
    sent_parts: usize,
    start: UploadStart,
    /// Whether no reader will follow the current one.
    is_last_reader: bool,
    received_bytes: u64,
    expected_bytes: Option<u64>,
    finished_at: Option<Instant>,
    last_progress_at: Instant,
    fault: Option<BodyFault>,
}

/// Whether the next part that is received stays buffered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum BufferRule {
    /// It does, whatever it takes.
    Always,
    /// It does while the host's buffers have room; else the start is dropped.
    WithinBudget,
    /// The start is dropped.
    Never,
}

/// Start of a body.
enum UploadStart {
    /// All that was received so far.
    Buffered { parts: PartBuffer, share: BufferShare },
    /// More was received than is buffered; the digest of the body is kept.
    Dropped { digest: u64 },
}

impl UploadState {
    pub(super) fn new(source: CallerBody, share: BufferShare) -> Self {
        let now = Instant::now();
        Self {
            expected_bytes: source.size_hint().exact(),
            finished_at: source.is_end_stream().then_some(now),
            source,
            reader: 0,
            sent_parts: 0,
            start: UploadStart::Buffered { parts: PartBuffer::default(), share },
            is_last_reader: false,
            received_bytes: 0,
            last_progress_at: now,
            fault: None,
        }
    }

    /// Number of a new reader that reads from the start; `None` if the start is gone or the body ended early.
    pub(super) fn take_whole(&mut self) -> Option<u32> {
        match (&self.start, &self.fault) {
            (UploadStart::Buffered { .. }, None) if !self.is_last_reader => {
                Some(self.replace_reader())
            }
            _ => None,
        }
    }

    /// Drops the buffered start as soon as the current reader has sent it, since the body is not sent again.
    pub(super) fn release_start(&mut self) {
        self.is_last_reader = true;
        self.drop_sent_start();
    }

    fn drop_sent_start(&mut self) {
        match &self.start {
            UploadStart::Buffered { parts, .. }
                if self.is_last_reader && self.sent_parts >= parts.count() =>
            {
                let digest = digest_parts(parts, self.expected_bytes);
                self.start = UploadStart::Dropped { digest };
            }
            _ => {}
        }
    }

    /// Number of a new reader of the rest; `None` if nothing more is expected from the caller.
    pub(super) fn take_unfinished(&mut self) -> Option<u32> {
        let is_over = self.finished_at.is_some() || self.fault.is_some();
        (!is_over).then(|| self.replace_reader())
    }

    /// Number of a new reader. The one before reads no more.
    fn replace_reader(&mut self) -> u32 {
        self.reader += 1;
        self.sent_parts = 0;
        self.last_progress_at = Instant::now();
        self.reader
    }

    /// Buffered part of the body by its place; `None` if it was not received yet.
    ///
    /// # Errors
    ///
    /// Fails with the reason why the reader must not go on.
    pub(super) fn buffered_part(
        &mut self,
        reader: u32,
        place: usize,
    ) -> Result<Option<Bytes>, BodyFault> {
        self.check_reader(reader)?;
        let part = match &mut self.start {
            UploadStart::Buffered { parts, .. } => parts.part(place),
            UploadStart::Dropped { .. } => None,
        };
        if part.is_some() {
            self.sent_parts = place + 1;
            self.drop_sent_start();
        }
        Ok(part)
    }

    /// Number of parts that are buffered; 0 once the start is dropped.
    pub(super) fn buffered_parts(&self) -> usize {
        match &self.start {
            UploadStart::Buffered { parts, .. } => parts.count(),
            UploadStart::Dropped { .. } => 0,
        }
    }

    /// Whether the reader has read the body to its end if it has replayed so many parts.
    pub(super) fn is_read(&self, reader: u32, replayed_parts: usize) -> bool {
        self.check_reader(reader).is_ok()
            && self.finished_at.is_some()
            && replayed_parts >= self.buffered_parts()
    }

    /// Ends the body early for its current reader.
    pub(super) fn fail(&mut self, reader: u32, fault: BodyFault) {
        if self.reader == reader {
            self.fault = Some(fault);
        }
    }

    pub(super) fn digest(&self) -> Option<u64> {
        match &self.start {
            UploadStart::Dropped { digest } => Some(*digest),
            UploadStart::Buffered { parts, .. } => {
                let is_known = self.finished_at.is_some() || parts.bytes() >= MAX_DIGESTED_BYTES;
                is_known.then(|| digest_parts(parts, self.expected_bytes))
            }
        }
    }

    pub(super) fn finished_at(&self) -> Option<Instant> {
        self.finished_at
    }

    pub(super) fn last_progress_at(&self) -> Instant {
        self.last_progress_at
    }

    pub(super) fn fault(&self) -> Option<BodyFault> {
        self.fault.clone()
    }

    pub(super) fn progress(&self) -> UploadProgress {
        UploadProgress {
            received_bytes: self.received_bytes,
            expected_bytes: self.expected_bytes,
            is_complete: self.finished_at.is_some(),
            has_start: matches!(self.start, UploadStart::Buffered { .. }),
        }
    }

    /// Reads the next part from the caller; `None` at the end of the body.
    pub(super) fn poll_source(
        &mut self,
        reader: u32,
        context: &mut Context<'_>,
        max_bytes: u64,
        rule: BufferRule,
    ) -> Poll<Option<Result<Bytes, BodyFault>>> {
        if let Err(fault) = self.check_reader(reader) {
            return Poll::Ready(Some(Err(fault)));
        }
        if self.finished_at.is_some() {
            return Poll::Ready(None);
        }
        let received = match std::task::ready!(self.poll_part(context)) {
            Some(Ok(data)) => self.record_part(data, max_bytes, rule).map(Some),
            Some(Err(fault)) => Err(fault),
            None => self.record_end().map(|()| None),
        };
        if let Err(fault) = &received {
            self.fault = Some(fault.clone());
        }
        Poll::Ready(received.transpose())
    }

    fn poll_part(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyFault>>> {
        loop {
            let frame = std::task::ready!(Pin::new(&mut self.source).poll_frame(context));
            match frame.map(|frame| frame.map(http_body::Frame::into_data)) {
                Some(Ok(Ok(data))) => return Poll::Ready(Some(Ok(data))),
                Some(Ok(Err(_trailers))) => {}
                Some(Err(fault)) => return Poll::Ready(Some(Err(fault))),
                None => return Poll::Ready(None),
            }
        }
    }

    fn check_reader(&self, reader: u32) -> Result<(), BodyFault> {
        match &self.fault {
            _ if self.reader != reader => Err(BodyFault::Superseded),
            Some(fault) => Err(fault.clone()),
            None => Ok(()),
        }
    }

    fn record_part(
        &mut self,
        data: Bytes,
        max_bytes: u64,
        rule: BufferRule,
    ) -> Result<Bytes, BodyFault> {
        self.received_bytes += data.len() as u64;
        self.last_progress_at = Instant::now();
        if self.received_bytes > max_bytes {
            return Err(BodyFault::TooLarge);
        }
        if self.expected_bytes == Some(self.received_bytes) {
            self.finished_at = Some(self.last_progress_at);
        }
        if let UploadStart::Buffered { parts, share } = &mut self.start {
            let has_room = match rule {
                // Nothing was sent yet, so that the body could not be sent without its start.
                BufferRule::Always if !share.grow_needed(data.len()) => {
                    return Err(BodyFault::NoMemory);
                }
                BufferRule::Always => true,
                BufferRule::WithinBudget => share.grow(data.len()),
                BufferRule::Never => false,
            };
            parts.append(&data);
            if rule != BufferRule::Always {
                self.sent_parts = parts.count();
            }
            if !has_room {
                let digest = digest_parts(parts, self.expected_bytes);
                self.start = UploadStart::Dropped { digest };
            }
        }
        self.drop_sent_start();
        Ok(data)
    }

    fn record_end(&mut self) -> Result<(), BodyFault> {
        match self.expected_bytes {
            Some(bytes) if bytes != self.received_bytes => {
                Err(BodyFault::Truncated { reason: "end of the stream".into() })
            }
            _ => {
                self.finished_at = Some(Instant::now());
                Ok(())
            }
        }
    }
}

fn digest_parts(parts: &PartBuffer, expected_bytes: Option<u64>) -> u64 {
    digest_body(parts.slices(), expected_bytes)
}
