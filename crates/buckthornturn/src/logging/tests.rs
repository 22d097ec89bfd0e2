//! Tests of the log sink: it must not block its callers, and must drop routine lines first.

use std::io::PipeWriter;
use std::io::Read;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use spdlog::Level;
use spdlog::LevelFilter;
use spdlog::Logger;
use spdlog::sink::Sink;
use spdlog::sink::SinkPropAccess;

use super::BoundedSink;
use super::LineFormatter;
use super::ROUTINE_MESSAGE;

/// Number of lines logged by a test; more than the queue and the rate limit accept.
const LINE_COUNT: usize = 10_000;

fn logger(writer: PipeWriter) -> (Arc<BoundedSink>, Logger) {
    let sink = Arc::new(BoundedSink::new(writer));
    sink.set_formatter(Box::new(LineFormatter));
    let shared: Arc<dyn Sink> = sink.clone();
    let logger = Logger::builder().sink(shared).level_filter(LevelFilter::All).build().unwrap();
    (sink, logger)
}

#[test]
fn a_blocked_reader_does_not_block_logging() {
    let (_reader, writer) = std::io::pipe().unwrap();
    let (sink, logger) = logger(writer);
    let started_at = Instant::now();
    for number in 0..LINE_COUNT {
        spdlog::info!(logger: logger, "decision {number} {}", "x".repeat(200));
    }
    assert!(started_at.elapsed() < Duration::from_secs(2), "{:?}", started_at.elapsed());
    assert!(sink.dropped_lines() > 0);
}

#[test]
fn lines_are_written_in_order() {
    let (mut reader, writer) = std::io::pipe().unwrap();
    let (sink, logger) = logger(writer);
    for number in 0..3 {
        spdlog::info!(logger: logger, "decision {number}");
    }
    sink.flush().unwrap();
    let mut buffer = vec![0; 4_096];
    let length = reader.read(&mut buffer).unwrap();
    let text = String::from_utf8_lossy(&buffer[..length]);
    let places: Vec<_> = (0..3).map(|number| text.find(&format!("decision {number}"))).collect();
    assert!(places.is_sorted() && places[0].is_some(), "{text}");
}

#[test]
fn routine_lines_are_dropped_first() {
    let (_reader, writer) = std::io::pipe().unwrap();
    let (sink, logger) = logger(writer);
    for _ in 0..LINE_COUNT {
        spdlog::log!(logger: logger, Level::Info, "{}", ROUTINE_MESSAGE);
    }
    let dropped_lines = sink.dropped_lines();
    spdlog::warn!(logger: logger, "store lost");
    assert!(dropped_lines > 0);
    assert_eq!(sink.dropped_lines(), dropped_lines);
}
