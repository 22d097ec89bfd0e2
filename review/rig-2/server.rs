//! Stand-in for a server: it runs some requests at once, keeps a few more waiting and sheds the others (PROTOCOL.md, "Servers").

use std::io::ErrorKind;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::parts::*;

/// Time after which a server looks whether a request was given up.
const STEP: Duration = Duration::from_millis(10);

pub struct Server {
    slots: usize,
    queue: usize,
    running_waiting: Mutex<(usize, usize)>,
}

impl Server {
    pub fn new(slots: usize, queue: usize) -> Self {
        Self { slots, queue, running_waiting: Mutex::default() }
    }

    /// Serves a connection. `begin` tells for how long the server works on a request. Requests whose connection is closed are dropped,
    /// and those whose time budget has passed in the queue are turned away.
    pub fn serve(&self, stream: TcpStream, begin: impl Fn(&Head) -> Duration, tells_load: bool) {
        let mut reader = Reader::new(stream);
        while let Ok(Some(head)) = reader.read_head() {
            let budget = head.header("x-request-deadline").and_then(|text| text.parse().ok());
            let deadline = Instant::now() + Duration::from_millis(budget.unwrap_or(60_000));
            if reader.read_body(&head).is_err() {
                return;
            }
            let answer = match self.take_slot(&reader.stream, deadline) {
                Turn::Left => return,
                Turn::Refused => format!(
                    "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: {}\r\nX-Not-Executed: 1\r\n{}Content-Length: 0\r\n\r\n",
                    head.attempt(),
                    self.load_header(tells_load)
                ),
                Turn::Runs => {
                    let end = Instant::now() + begin(&head);
                    let mut is_open = true;
                    while is_open && Instant::now() < end.min(deadline) {
                        is_open = !has_left(&reader.stream);
                    }
                    let load = self.load_header(tells_load);
                    self.running_waiting.lock().unwrap().0 -= 1;
                    if !is_open {
                        return;
                    }
                    match Instant::now() < end {
                        true => format!(
                            "{}{load}Content-Length: 0\r\n\r\n",
                            answer_head(&head, "504 Gateway Timeout")
                        ),
                        false => format!(
                            "{}{load}Content-Length: 4\r\n\r\npage",
                            answer_head(&head, "200 OK")
                        ),
                    }
                }
            };
            if reader.stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn load_header(&self, tells_load: bool) -> String {
        let (running, waiting) = *self.running_waiting.lock().unwrap();
        match tells_load {
            true => format!("X-Server-Load: {running},{waiting},{}\r\n", self.slots),
            false => String::new(),
        }
    }

    fn take_slot(&self, stream: &TcpStream, deadline: Instant) -> Turn {
        {
            let mut state = self.running_waiting.lock().unwrap();
            if state.0 >= self.slots && state.1 >= self.queue {
                return Turn::Refused;
            }
            if state.0 < self.slots && state.1 == 0 {
                state.0 += 1;
                return Turn::Runs;
            }
            state.1 += 1;
        }
        loop {
            let has_left = has_left(stream);
            let mut state = self.running_waiting.lock().unwrap();
            let is_late = Instant::now() >= deadline;
            if has_left || is_late || state.0 < self.slots {
                state.1 -= 1;
                if has_left {
                    return Turn::Left;
                }
                if is_late {
                    return Turn::Refused;
                }
                state.0 += 1;
                return Turn::Runs;
            }
        }
    }
}

enum Turn {
    Runs,
    Refused,
    Left,
}

/// Waits a step and tells whether the other end has closed the connection.
fn has_left(stream: &TcpStream) -> bool {
    let _ = stream.set_read_timeout(Some(STEP));
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_read_timeout(None);
    match peeked {
        Ok(bytes) => bytes == 0,
        Err(error) => !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
    }
}
