//! Tests of `explain` on lines of a real run, on malformed input and on input without end.

use std::io::Read;
use std::path::Path;

use super::LogLine;
use super::LogReader;
use super::RequestReport;

/// Log lines of a real run with the prefixes of a collector; one line was truncated.
const LOG: &str = "\
  -9.9431 edge-asan-1 2026-07-17T03:24:57.006Z info host started host=edge-asan-1 incarnation=16720395319117564784 callers=10.4.0.33:8381 mesh=10.4.0.33:8386
  -9.3099 edge-asan-1 2026-07-17T03:24:57.639Z info configuration applied version=00000004 revision=2 customers=83 keys=166
  -8.3099 edge-asan-1 2026-07-17T03:24:58.639Z info target entry applied target=i-20c27e3ea2 service=migo48a failure_domain=patan state=Ready change=Started
  -8.3098 edge-asan-1 2026-07-17T03:24:58.639Z info target entry applied target=i-ecf297d09b service=migo48a failure_domain=asan state=Ready change=Started
   1.0010 edge-asan-2 2026-07-17T03:25:07.990Z info configuration applied version=00000005 revision=9 customers=83 keys=166
  13.9757 edge-asan-1 2026-07-17T03:25:28.93  13.9759 edge-asan-2 2026-07-17T03:25:28.9
  18.0089 edge-asan-1 2026-07-17T03:25:33.007Z warn store lost part=configuration reason=\"not reached: connection error\"
  18.1000 edge-asan-1 2026-07-17T03:25:33.100Z info request not served request_id=a5d07501121969b7 route=r-qyvktkz customer=zilo3018 tokens=keeper service=migo48a target=i-20c27e3ea2 tries=2 sent=1 wait_ms=12 pause_ms=0 load=3.5 pressure=0.82 object=4564 is_warm=false expected_ms=905 took_ms=1681 version=00000004 state_age_ms=120 status=504 reason=timeout
  18.1001 edge-asan-2 2026-07-17T03:25:33.101Z info request not served request_id=4c356dd654f48384 route=r-qyvktkz customer=zilo3018 tokens=reserve-unanswered service=- target=- tries=0 sent=0 wait_ms=0 pause_ms=243 load=0 pressure=0 object=4564 is_warm=false expected_ms=0 took_ms=301 version=00000005 state_age_ms=4000 status=429 reason=rate-exceeded
";

fn report_of(request: &str) -> RequestReport {
    let mut reader = LogReader::new(request);
    reader.read(Path::new("hosts.log"), &mut LOG.as_bytes()).unwrap();
    reader.into_report()
}

macro_rules! report_tests {
    ($($name:ident: $request:literal contains $($part:literal),* and not $($other:literal),*;)*) => {
        $(
            #[test]
            fn $name() {
                let report = report_of($request).to_string();
                $(assert!(report.contains($part), "{} in {report}", $part);)*
                $(assert!(!report.contains($other), "{} in {report}", $other);)*
            }
        )*
    };
}

report_tests! {
    a_timeout_names_the_target_and_the_host_state: "a5d07501121969b7" contains
        "edge-asan-1", "may have run", "was expected after 905 ms", "i-20c27e3ea2", "configuration applied version=00000004",
        "store lost part=configuration reason=not reached: connection error", "state=Ready change=Started"
        and not "i-ecf297d09b", "version=00000005";
    a_rate_refusal_names_the_source_of_its_tokens: "4c356dd654f48384" contains
        "edge-asan-2", "did not answer", "retry after 243 ms", "sent to no target", "state last confirmed 4000 ms earlier"
        and not "edge-asan-1";
    an_unknown_request_reports_what_was_read: "0000000000000000" contains
        "no log line found for 0000000000000000", "read 9 lines from 2026-07-17T03:24:57.006Z to 2026-07-17T03:25:33.101Z",
        "1 could not be parsed"
        and not "edge-asan";
}

#[test]
fn a_line_without_a_collector_prefix_is_parsed() {
    let line = LogLine::parse("2026-07-17T03:25:33.007Z warn store lost part=targets").unwrap();
    assert_eq!(
        (line.prefix, line.message, line.field("part")),
        ("", "store lost", Some("targets"))
    );
}

#[test]
fn text_that_is_no_host_log_line_is_rejected() {
    for text in [
        "",
        "T",
        "2026-07-17T03:25:33.007Z",
        "2026-07-17T03:25:33.007Z loud x",
        "é2026-07-17T",
        "=T=\"",
    ] {
        assert_eq!(LogLine::parse(text), None, "{text}");
    }
}

/// Input of `left` bytes without a line end.
struct EndlessLine {
    left: usize,
}

impl std::io::Read for EndlessLine {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        let length = buffer.len().min(self.left);
        buffer[..length].fill(b'x');
        self.left -= length;
        Ok(length)
    }
}

#[test]
fn an_endless_line_is_not_buffered() {
    let mut reader = LogReader::new("4c356dd654f48384");
    let mut input = std::io::BufReader::new(EndlessLine { left: 8 << 20 }.chain(LOG.as_bytes()));
    reader.read(Path::new("hosts.log"), &mut input).unwrap();
    assert!(reader.line_capacity() <= 64 << 10, "{} bytes", reader.line_capacity());
    let report = reader.into_report().to_string();
    assert!(report.contains("edge-asan-2") && report.contains("2 could not be parsed"), "{report}");
}

#[test]
fn the_number_of_hosts_is_bounded() {
    let mut reader = LogReader::new("4c356dd654f48384");
    let line = |number: usize| {
        format!("x-{number} 2026-07-17T03:25:33.007Z warn store lost part=targets\n")
    };
    let log: String = (0..20_000).map(line).collect();
    reader.read(Path::new("hosts.log"), &mut log.as_bytes()).unwrap();
    assert!(reader.host_count() <= 4_096, "{}", reader.host_count());
}

#[test]
fn a_line_without_a_status_is_printed_unchanged() {
    let log =
        "2026-07-17T03:25:33.007Z info target chosen request_id=abc target=t-1 queued_us=12\n";
    let mut reader = LogReader::new("abc");
    reader.read(Path::new("host.log"), &mut log.as_bytes()).unwrap();
    let report = reader.into_report().to_string();
    assert!(report.contains("target chosen request_id=abc target=t-1 queued_us=12"), "{report}");
    assert!(!report.contains("status"), "{report}");
}

proptest::proptest! {
    #[test]
    fn arbitrary_bytes_do_not_stop_the_reader(bytes in proptest::collection::vec(proptest::num::u8::ANY, 0..400)) {
        let mut log = LOG.as_bytes().to_vec();
        let at = bytes.len() % log.len();
        log.splice(at..at, bytes);
        let mut reader = LogReader::new("4c356dd654f48384");
        reader.read(Path::new("hosts.log"), &mut &log[..]).unwrap();
        let _ = reader.into_report().to_string();
    }
}
