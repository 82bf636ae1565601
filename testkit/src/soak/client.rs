//! Connections of the soak's callers, each of which sends many requests.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use super::Outcome;
use crate::direct::{CallerRequest, EVENTS, FATAL_SEGMENT, FLOOD_KEY};

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest wait for the next bytes of an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(8);

/// Statuses that report that the request has not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// An open connection to a router.
pub(super) struct Connection {
    reader: BufReader<TcpStream>,
    /// Whether an answer had `Connection: close`.
    pub closes: bool,
    /// Time after which the last answer asks the caller to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// An answer as received.
struct Answer {
    status: u16,
    body: String,
}

impl Connection {
    /// Opens a connection; `None` where that fails.
    pub fn open(addr: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT).ok()?;
        stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
        stream.set_nodelay(true).ok()?;
        let reader = BufReader::new(stream);
        Some(Self {
            reader,
            closes: false,
            retry_after_ms: None,
        })
    }

    /// Sends a request of a kind and reads its answer.
    pub fn send_request(&mut self, kind: &'static str, attempt: &str, body: &str) -> Outcome {
        let (route, key) = match kind {
            "fatal" | "segment" | "beside" => ("stream", "k1"),
            "flood" => ("stream", FLOOD_KEY),
            kind => (kind, "k1"),
        };
        let path = format!("/{route}/x");
        let segments = match kind {
            "segment" => {
                let shared = shared_segment(attempt);
                format!("c0de:5,{shared}:4,{FATAL_SEGMENT}:3,{attempt}:2")
            }
            "beside" => format!("c0de:5,{}:4,{attempt}:2", shared_segment(attempt)),
            _ => format!("c0de:5,{attempt}:2"),
        };
        let request = CallerRequest {
            key,
            path: &path,
            attempt,
            connection: "keep-alive",
            segments: &segments,
            body,
            ..CallerRequest::default()
        };
        let text = request.to_string();
        let written = self.reader.get_mut().write_all(text.as_bytes());
        match written.ok().and_then(|()| self.read_answer()) {
            Some(answer) => outcome(route, &answer),
            None => Outcome::Closed,
        }
    }

    /// Reads an answer; `None` where the connection ends before the answer does, or the answer
    /// isn't valid.
    fn read_answer(&mut self) -> Option<Answer> {
        let status = self.read_line()?.split(' ').nth(1)?.parse().ok()?;
        let (mut length, mut chunked) = (0, false);
        self.retry_after_ms = None;
        loop {
            let line = self.read_line()?.to_ascii_lowercase();
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':')?;
            match (name, value.trim()) {
                ("content-length", value) => length = value.parse().ok()?,
                ("transfer-encoding", value) => chunked = value == "chunked",
                ("retry-after", value) => self.retry_after_ms = parse_ms(value),
                ("connection", value) => self.closes |= value == "close",
                _ => {}
            }
        }
        let body = if chunked {
            self.read_chunks()?
        } else {
            self.read_bytes(length)?
        };
        let body = String::from_utf8_lossy(&body).to_string();
        Some(Answer { status, body })
    }

    fn read_line(&mut self) -> Option<String> {
        let mut line = String::new();
        let read = self.reader.read_line(&mut line).ok()?;
        (read > 0 && line.ends_with('\n')).then(|| line.trim_end().to_string())
    }

    fn read_bytes(&mut self, length: usize) -> Option<Vec<u8>> {
        let mut bytes = vec![0; length];
        self.reader.read_exact(&mut bytes).ok()?;
        Some(bytes)
    }

    fn read_chunks(&mut self) -> Option<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let length = usize::from_str_radix(&self.read_line()?, 16).ok()?;
            body.extend(self.read_bytes(length)?);
            self.read_line()?;
            if length == 0 {
                return Some(body);
            }
        }
    }
}

/// Segment that the sound and the fatal requests of one fault share: the fault's number in an attempt id,
/// which is a kind, that number, a dash and the number of the attempt.
fn shared_segment(attempt: &str) -> String {
    let fault = attempt.split('-').next().unwrap_or("");
    let number = fault.trim_start_matches(|c: char| !c.is_ascii_digit());
    format!("5a{number}")
}

/// Parses a time in seconds, which may have decimals.
fn parse_ms(seconds: &str) -> Option<u64> {
    let seconds: f64 = seconds.parse().ok()?;
    Some((seconds * 1_000.0).round() as u64)
}

fn outcome(route: &str, answer: &Answer) -> Outcome {
    match answer.status {
        200 if is_complete(route, &answer.body) => Outcome::Whole,
        200 => Outcome::Wrong,
        status if NOT_RUN.contains(&status) => Outcome::NotRun,
        300..500 => Outcome::Refused,
        _ => Outcome::Failed,
    }
}

/// Whether a body is the complete answer of a route.
fn is_complete(route: &str, body: &str) -> bool {
    if route != "stream" {
        return body.contains("\"by\"");
    }
    let ids = body.lines().filter_map(|l| l.strip_prefix("id: "));
    let ids: Vec<u64> = ids.filter_map(|id| id.trim().parse().ok()).collect();
    ids == (1..=EVENTS).collect::<Vec<_>>()
}
