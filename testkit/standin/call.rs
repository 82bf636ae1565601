use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Longest time for a connection to come up.
const CONNECT: Duration = Duration::from_millis(500);

/// Longest time without a byte of an answer.
const READ: Duration = Duration::from_secs(8);

/// What a caller got.
#[derive(Debug)]
pub struct Answer {
    /// Status.
    pub status: u16,
    /// Body, with the marks of its chunks.
    pub body: String,
    /// Whether its end has come.
    pub complete: bool,
}

impl Answer {
    /// Ids of the events of a stream, in order.
    pub fn events(&self) -> Vec<u64> {
        let ids = self.body.lines().filter_map(|l| l.strip_prefix("id: "));
        ids.filter_map(|id| id.trim().parse().ok()).collect()
    }
}

/// One request without a body, on a connection of its own.
pub fn call(addr: SocketAddr, method: &str, path: &str, attempt: &str) -> Option<Answer> {
    send(addr, method, path, attempt, "")
}

/// One request on a connection of its own.
pub fn send(
    addr: SocketAddr,
    method: &str,
    path: &str,
    attempt: &str,
    body: &str,
) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&addr, CONNECT).ok()?;
    stream.set_read_timeout(Some(READ)).ok()?;
    let text = request(method, path, attempt, "close", body);
    stream.write_all(text.as_bytes()).ok()?;
    let mut all = Vec::new();
    let ended = stream.read_to_end(&mut all).is_ok();
    let text = String::from_utf8_lossy(&all).to_string();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let chunked = head
        .to_ascii_lowercase()
        .contains("transfer-encoding: chunked");
    let complete = ended && (!chunked || body.ends_with("0\r\n\r\n"));
    Some(Answer {
        status,
        body: body.to_string(),
        complete,
    })
}

/// A request as text.
pub(crate) fn request(
    method: &str,
    path: &str,
    attempt: &str,
    connection: &str,
    body: &str,
) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer k1\r\n\
         X-Attempt-Id: {attempt}\r\nX-Model: big\r\nX-Token-Counts: 10,10\r\n\
         X-Deadline-Ms: 6000\r\nConnection: {connection}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
