//! A sink that never blocks: lines wait in a bounded queue for a thread that writes them.

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

/// Message of the line that ends a request that was served: such lines give way to all others.
pub const ROUTINE_MESSAGE: &str = "request ended";

/// Most lines that wait; with lines of some 300 bytes about a megabyte.
const MAX_QUEUED_LINES: usize = 4_096;
/// Most lines that wait for a routine line to be taken.
const MAX_QUEUED_LINES_FOR_ROUTINE: usize = MAX_QUEUED_LINES / 2;
/// Most lines in a second: several times what a host with a fifth of a core can serve.
const MAX_LINES_PER_SECOND: u32 = 1_000;
/// Most lines in a second for a routine line to be taken.
const MAX_LINES_PER_SECOND_FOR_ROUTINE: u32 = 500;
/// Pause before waiting lines are written, so that many go in one call.
const BATCH_DELAY: Duration = Duration::from_millis(50);
/// Longest wait for the queue to be written at the end.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// A sink that never blocks.
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
    /// A sink whose lines a thread writes to `writer`.
    pub fn new(writer: impl Write + Send + 'static) -> Self {
        let queue = Arc::<LineQueue>::default();
        let writer_queue = Arc::clone(&queue);
        std::thread::spawn(move || write_lines(&writer_queue, writer));
        Self { prop: SinkProp::default(), queue }
    }

    /// Lines dropped so far.
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
