//! What the clients of a crowd send.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use testkit::CrowdClient;

/// Bytes that a client sends at a time if it sends its body piece by piece.
const PIECE_BYTES: usize = 16 * 1024;

/// One client of this many sends its body to the end.
const WHOLE_EVERY: usize = 4;

/// Longest wait for an answer to a single client.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// How the bodies of a crowd are framed and sent.
#[derive(Clone, Copy, Debug)]
pub enum Sending {
    /// With a length, at once.
    Whole,
    /// With a length, piece by piece.
    Pieces,
    /// In chunks of so many bytes.
    Chunks(usize),
}

/// Clients that send a body. One of `WHOLE_EVERY` sends it to the end, the others stop one byte short of that.
pub fn legal_bodies(head: &str, clients: usize, body: &[u8], how: Sending) -> Vec<CrowdClient> {
    let whole = whole_bodies(head, clients, body, how);
    let sent = &whole[0].body;
    let cut: Arc<[u8]> = Arc::from(&sent[..sent.len() - 1]);
    let shorten = |(n, client): (usize, CrowdClient)| CrowdClient {
        body: if n % WHOLE_EVERY == 0 {
            client.body
        } else {
            cut.clone()
        },
        ..client
    };
    whole.into_iter().enumerate().map(shorten).collect()
}

/// Clients that send a body to the end.
pub fn whole_bodies(head: &str, clients: usize, body: &[u8], how: Sending) -> Vec<CrowdClient> {
    let bytes = body.len();
    let (framing, body, step) = match how {
        Sending::Whole => (length(bytes), body.to_vec(), bytes),
        Sending::Pieces => (length(bytes), body.to_vec(), PIECE_BYTES),
        Sending::Chunks(chunk) => (CHUNKED.to_string(), chunked(body, chunk), 4 * PIECE_BYTES),
    };
    let body: Arc<[u8]> = Arc::from(body);
    let client = |n: usize| CrowdClient {
        head: format!("{head}X-Attempt-Id: crowd-{n}\r\n{framing}\r\n"),
        awaits_answer: false,
        body: body.clone(),
        step,
    };
    (0..clients).map(client).collect()
}

/// Sends what a client sends; returns the status of the answer, if one is received.
pub fn status_of(addr: SocketAddr, client: &CrowdClient) -> Option<u16> {
    let mut stream = TcpStream::connect(addr).ok()?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
    stream.write_all(client.head.as_bytes()).ok()?;
    stream.write_all(&client.body).ok()?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).ok()?;
    line.split(' ').nth(1)?.parse().ok()
}

/// A client that announces a body and sends `sent` bytes of it.
pub fn unfinished(head: &str, announced: usize, sent: usize) -> CrowdClient {
    CrowdClient {
        head: format!("{head}X-Attempt-Id: one\r\n{}\r\n", length(announced)),
        awaits_answer: false,
        body: Arc::from(vec![b'x'; sent]),
        step: PIECE_BYTES,
    }
}

/// Clients whose bodies are far longer than any limit: half announce it and the others just send.
pub fn long_bodies(head: &str, clients: usize, bytes: usize) -> Vec<CrowdClient> {
    let announced = [length(1 << 46), length(bytes * 4)];
    let body: Arc<[u8]> = Arc::from(vec![b'x'; bytes]);
    let chunks: Arc<[u8]> = Arc::from(chunked(&body, PIECE_BYTES));
    let mut one_chunk = b"3fffffffffff\r\n".to_vec();
    one_chunk.extend_from_slice(&body);
    let one_chunk: Arc<[u8]> = Arc::from(one_chunk);
    let client = |n: usize| {
        let (framing, body) = match n % 4 {
            0 | 1 => (announced[n % 2].as_str(), &body),
            2 => (CHUNKED, &chunks),
            _ => (CHUNKED, &one_chunk),
        };
        CrowdClient {
            head: format!("{head}X-Attempt-Id: crowd-{n}\r\n{framing}\r\n"),
            awaits_answer: false,
            body: body.clone(),
            step: PIECE_BYTES,
        }
    };
    (0..clients).map(client).collect()
}

/// Clients that send the length of a chunk without end.
pub fn endless_chunk_lengths(head: &str, clients: usize, bytes: usize) -> Vec<CrowdClient> {
    let client = CrowdClient {
        head: format!("{head}{CHUNKED}\r\n"),
        awaits_answer: false,
        body: Arc::from(vec![b'0'; bytes]),
        step: PIECE_BYTES,
    };
    vec![client; clients]
}

/// Clients that stop within the head, within the body, or before the first byte.
pub fn stuck(head: &str, clients: usize) -> Vec<CrowdClient> {
    let heads = [
        String::new(),
        head.to_string(),
        format!("{head}{}\r\n", length(1_000)),
        format!("{head}{CHUNKED}\r\n"),
    ];
    let client = |n: usize| CrowdClient {
        head: heads[n % heads.len()].clone(),
        awaits_answer: false,
        body: Arc::from(&b"5"[..]),
        step: 1,
    };
    (0..clients).map(client).collect()
}

const CHUNKED: &str = "Transfer-Encoding: chunked\r\n";

fn length(bytes: usize) -> String {
    format!("Content-Length: {bytes}\r\n")
}

/// A body in chunks, complete.
fn chunked(body: &[u8], chunk: usize) -> Vec<u8> {
    let mut framed = Vec::new();
    for part in body.chunks(chunk) {
        framed.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
        framed.extend_from_slice(part);
        framed.extend_from_slice(b"\r\n");
    }
    framed.extend_from_slice(b"0\r\n\r\n");
    framed
}
