//! Non-blocking log sink with a bounded queue and a writer thread.

use std::collections::VecDeque;
use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use spdlog::Record;
use spdlog::StringBuf;
use spdlog::formatter::FormatterContext;
use spdlog::sink::GetSinkProp;
use spdlog::sink::Sink;
use spdlog::sink::SinkProp;

/// Message of the line logged for each request served with success. These routine lines are the first to be dropped, so that
/// they cannot displace others.
pub const ROUTINE_MESSAGE: &str = "request ended";

/// Maximum number of queued lines; about 1 MB with lines of some 300 bytes.
const MAX_QUEUED_LINES: usize = 4_096;
/// Queue length from which routine lines are dropped.
const MAX_QUEUED_LINES_FOR_ROUTINE: usize = MAX_QUEUED_LINES / 2;
/// Maximum number of lines accepted in one second; several times the requests that a host with a fifth of a core can serve.
const MAX_LINES_PER_SECOND: u32 = 1_000;
/// Number of lines accepted in one second from which routine lines are dropped.
const MAX_LINES_PER_SECOND_FOR_ROUTINE: u32 = 500;
/// Delay between the first queued line and the write, so that one system call writes many lines.
const BATCH_DELAY: Duration = Duration::from_millis(50);
/// Maximum time that a flush, such as the one at shutdown, waits for the queue to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Log sink that never blocks: it queues formatted lines for a writer thread and drops lines over its limits.
pub struct BoundedSink {
    prop: SinkProp,
    queue: Arc<LineQueue>,
}

#[derive(Default)]
struct LineQueue {
    state: Mutex<QueueState>,
    line_queued: Condvar,
    batch_written: Condvar,
}

#[derive(Default)]
struct QueueState {
    lines: VecDeque<Box<str>>,
    is_writing: bool,
    second_started_at: Option<Instant>,
    lines_this_second: u32,
    dropped_lines: u64,
}

impl BoundedSink {
    /// Creates a sink and starts the thread that writes its lines to `writer`. The thread runs until the process ends.
    pub fn new(writer: impl Write + Send + 'static) -> Self {
        let queue = Arc::<LineQueue>::default();
        let writer_queue = Arc::clone(&queue);
        std::thread::spawn(move || write_lines(&writer_queue, writer));
        Self { prop: SinkProp::default(), queue }
    }

    /// Number of lines dropped since the sink was created, over its limits or because a write failed.
    pub fn dropped_lines(&self) -> u64 {
        self.queue.lock().dropped_lines
    }
}

impl GetSinkProp for BoundedSink {
    fn prop(&self) -> &SinkProp {
        &self.prop
    }
}

impl Sink for BoundedSink {
    fn log(&self, record: &Record) -> spdlog::Result<()> {
        let is_routine = record.payload() == ROUTINE_MESSAGE;
        if !self.queue.try_admit(is_routine, Instant::now()) {
            return Ok(());
        }
        let mut line = StringBuf::new();
        self.prop.formatter().format(record, &mut line, &mut FormatterContext::new())?;
        self.queue.push(line.as_str().into());
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        let state = self.queue.lock();
        let is_busy = |state: &mut QueueState| !state.lines.is_empty() || state.is_writing;
        let waited = self.queue.batch_written.wait_timeout_while(state, FLUSH_TIMEOUT, is_busy);
        drop(waited);
        Ok(())
    }
}

impl LineQueue {
    /// Checks a line against the limits and counts it as accepted or dropped.
    fn try_admit(&self, is_routine: bool, now: Instant) -> bool {
        let (max_lines, max_per_second) = match is_routine {
            true => (MAX_QUEUED_LINES_FOR_ROUTINE, MAX_LINES_PER_SECOND_FOR_ROUTINE),
            false => (MAX_QUEUED_LINES, MAX_LINES_PER_SECOND),
        };
        let mut state = self.lock();
        let is_new_second =
            state.second_started_at.is_none_or(|at| now - at >= Duration::from_secs(1));
        if is_new_second {
            state.second_started_at = Some(now);
            state.lines_this_second = 0;
        }
        let is_admitted = state.lines.len() < max_lines && state.lines_this_second < max_per_second;
        match is_admitted {
            true => state.lines_this_second += 1,
            false => state.dropped_lines += 1,
        }
        is_admitted
    }

    fn push(&self, line: Box<str>) {
        let mut state = self.lock();
        state.lines.push_back(line);
        if state.lines.len() == 1 {
            self.line_queued.notify_one();
        }
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes queued lines in batches, forever. Lines of a batch whose write fails count as dropped.
fn write_lines(queue: &LineQueue, mut writer: impl Write) {
    loop {
        {
            let state = queue.lock();
            let waited = queue.line_queued.wait_while(state, |state| state.lines.is_empty());
            drop(waited);
        }
        std::thread::sleep(BATCH_DELAY);
        let lines = {
            let mut state = queue.lock();
            state.is_writing = true;
            std::mem::take(&mut state.lines)
        };
        let text: String = lines.iter().map(|line| &**line).collect();
        let result = writer.write_all(text.as_bytes()).and_then(|()| writer.flush());
        let mut state = queue.lock();
        state.is_writing = false;
        if result.is_err() {
            state.dropped_lines += lines.len() as u64;
        }
        queue.batch_written.notify_all();
    }
}
