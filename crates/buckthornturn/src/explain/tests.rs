use std::io::Read;
use std::path::Path;

use super::LogLine;
use super::RequestStory;
use super::StoryReader;

/// Lines of a real run, as a collector writes them, with one that was cut in the middle.
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

fn story(request: &str) -> RequestStory {
    let mut reader = StoryReader::new(request);
    reader.read(Path::new("hosts.log"), &mut LOG.as_bytes()).unwrap();
    reader.story()
}

macro_rules! stories {
    ($($name:ident: $request:literal tells $($part:literal),* and not $($other:literal),*;)*) => {
        $(
            #[test]
            fn $name() {
                let story = story($request).to_string();
                $(assert!(story.contains($part), "{} in {story}", $part);)*
                $(assert!(!story.contains($other), "{} in {story}", $other);)*
            }
        )*
    };
}

stories! {
    a_timeout_tells_target_and_beliefs: "a5d07501121969b7" tells
        "edge-asan-1", "may have run", "expected after 905 ms", "i-20c27e3ea2", "configuration applied version=00000004",
        "store lost part=configuration reason=not reached: connection error", "state=Ready change=Started"
        and not "i-ecf297d09b", "version=00000005";
    a_refusal_for_the_rate_tells_where_tokens_were_asked_for: "4c356dd654f48384" tells
        "edge-asan-2", "did not answer", "come back after 243 ms", "sent to no target", "state heard of 4000 ms before"
        and not "edge-asan-1";
    an_unknown_request_tells_what_was_read: "0000000000000000" tells
        "no line tells of 0000000000000000", "read 9 lines from 2026-07-17T03:24:57.006Z to 2026-07-17T03:25:33.101Z",
        "1 could not be read"
        and not "edge-asan";
}

#[test]
fn a_line_without_collector_is_read() {
    let line = LogLine::parse("2026-07-17T03:25:33.007Z warn store lost part=targets").unwrap();
    assert_eq!(
        (line.prefix, line.message, line.field("part")),
        ("", "store lost", Some("targets"))
    );
}

#[test]
fn what_is_no_line_of_a_host_is_passed_over() {
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

/// Input without an end of a line; counts what was taken of it at once.
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
fn a_line_without_end_is_not_kept() {
    let mut reader = StoryReader::new("4c356dd654f48384");
    let mut input = std::io::BufReader::new(EndlessLine { left: 8 << 20 }.chain(LOG.as_bytes()));
    reader.read(Path::new("hosts.log"), &mut input).unwrap();
    assert!(reader.line_capacity() <= 64 << 10, "{} bytes", reader.line_capacity());
    let story = reader.story().to_string();
    assert!(story.contains("edge-asan-2") && story.contains("2 could not be read"), "{story}");
}

#[test]
fn many_prefixes_do_not_fill_the_memory() {
    let mut reader = StoryReader::new("4c356dd654f48384");
    let line = |number: usize| {
        format!("x-{number} 2026-07-17T03:25:33.007Z warn store lost part=targets\n")
    };
    let log: String = (0..20_000).map(line).collect();
    reader.read(Path::new("hosts.log"), &mut log.as_bytes()).unwrap();
    assert!(reader.hosts() <= 4_096, "{}", reader.hosts());
}

#[test]
fn a_line_of_another_kind_is_told_as_it_is() {
    let log =
        "2026-07-17T03:25:33.007Z info target chosen request_id=abc target=t-1 queued_us=12\n";
    let mut reader = StoryReader::new("abc");
    reader.read(Path::new("host.log"), &mut log.as_bytes()).unwrap();
    let story = reader.story().to_string();
    assert!(story.contains("target chosen request_id=abc target=t-1 queued_us=12"), "{story}");
    assert!(!story.contains("status"), "{story}");
}

proptest::proptest! {
    #[test]
    fn no_bytes_stop_the_reader(bytes in proptest::collection::vec(proptest::num::u8::ANY, 0..400)) {
        let mut log = LOG.as_bytes().to_vec();
        let at = bytes.len() % log.len();
        log.splice(at..at, bytes);
        let mut reader = StoryReader::new("4c356dd654f48384");
        reader.read(Path::new("hosts.log"), &mut &log[..]).unwrap();
        let _ = reader.story().to_string();
    }
}
