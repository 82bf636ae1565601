use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use super::{CallerRequest, FATAL_SEGMENT};

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest wait for the next bytes of an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(8);

/// Answer to a request, as the caller received it.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Status line and headers as received.
    pub head: String,
    /// Body as received: the framing of a chunked body is kept.
    pub body: String,
    /// Whether the connection was closed without an error and, with a chunked body, after its
    /// last chunk, or with a length, after so many bytes.
    pub complete: bool,
}

impl Answer {
    /// Ids of the events of a stream, in the order received.
    pub fn events(&self) -> Vec<u64> {
        let ids = self.body.lines().filter_map(|l| l.strip_prefix("id: "));
        ids.filter_map(|id| id.trim().parse().ok()).collect()
    }

    /// Value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.head.lines().filter_map(|l| l.split_once(':'));
        let found = headers.find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim())
    }
}

/// Sends a request without a body on a new connection; `None` when no answer head arrives.
pub fn call(addr: SocketAddr, method: &str, path: &str, attempt: &str) -> Option<Answer> {
    send(addr, method, path, attempt, "")
}

/// Sends a stream request of its own, whose prompt has a segment that others share and perhaps the one that
/// crashes engines.
pub fn send_sharing(
    addr: SocketAddr,
    shared: &str,
    attempt: &str,
    is_fatal: bool,
) -> Option<Answer> {
    let fatal = if is_fatal { FATAL_SEGMENT } else { "50f7" };
    let segments = format!("{shared}:5,{fatal}:3,0e:2");
    let request = CallerRequest {
        attempt,
        segments: &segments,
        body: attempt,
        ..CallerRequest::default()
    };
    exchange(addr, &request)
}

/// Sends a request on a new connection; `None` when no answer head arrives.
pub fn send(
    addr: SocketAddr,
    method: &str,
    path: &str,
    attempt: &str,
    body: &str,
) -> Option<Answer> {
    let request = CallerRequest {
        method,
        path,
        attempt,
        body,
        ..CallerRequest::default()
    };
    exchange(addr, &request)
}

/// Sends a request on a new connection; `None` when no answer head arrives.
pub fn exchange(addr: SocketAddr, request: &CallerRequest) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
    let text = request.to_string();
    stream.write_all(text.as_bytes()).ok()?;
    let mut received = Vec::new();
    let ended = stream.read_to_end(&mut received).is_ok();
    let text = String::from_utf8_lossy(&received).to_string();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let mut answer = Answer {
        status: head.split(' ').nth(1)?.parse().ok()?,
        head: head.to_string(),
        body: body.to_string(),
        complete: ended,
    };
    let length = answer.header("content-length");
    let length: Option<usize> = length.and_then(|l| l.parse().ok());
    let is_chunked = answer.header("transfer-encoding") == Some("chunked");
    answer.complete &= match length {
        Some(length) => request.method == "HEAD" || length == received.len() - head.len() - 4,
        None => !is_chunked || body.ends_with("0\r\n\r\n"),
    };
    Some(answer)
}

/// Sends a stream request with an API key on a new connection; returns the status and the time until
/// the head of the answer, after the whole answer. `None` when no complete answer arrives.
pub fn send_as(addr: SocketAddr, key: &str, attempt: &str) -> Option<(u16, Duration)> {
    let mut stream = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
    let request = CallerRequest {
        key,
        attempt,
        ..CallerRequest::default()
    };
    let text = request.to_string();
    let begin = Instant::now();
    stream.write_all(text.as_bytes()).ok()?;
    let mut first = [0; 64];
    let length = stream.read(&mut first).ok()?;
    let took = begin.elapsed();
    let head = String::from_utf8_lossy(&first[..length]).to_string();
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).ok()?;
    Some((head.split(' ').nth(1)?.parse().ok()?, took))
}
