use std::time::Duration;

/// Bytes without end in place of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flood {
    /// A status line that doesn't end.
    StatusLine,
    /// Further and further headers.
    Headers,
    /// Interim answers.
    Interim,
    /// A body in chunks.
    Chunks,
    /// A body with neither a length nor chunks.
    Unframed,
    /// A body in chunks, one byte now and then.
    Trickle,
    /// One event of a stream.
    Event,
    /// Events of a stream without ids.
    Events,
    /// Events of a stream with rising ids.
    RisingEvents,
    /// Events of a stream whose ids rise no further.
    SameEvents,
    /// Trailers after a body in chunks.
    Trailers,
    /// Bytes after a whole answer.
    Surplus,
}

impl Flood {
    /// All floods of answers that aren't streams.
    pub const WHOLE: [Flood; 8] = [
        Flood::StatusLine,
        Flood::Headers,
        Flood::Interim,
        Flood::Chunks,
        Flood::Unframed,
        Flood::Trickle,
        Flood::Trailers,
        Flood::Surplus,
    ];

    /// All floods of streams.
    pub const STREAMED: [Flood; 10] = [
        Flood::StatusLine,
        Flood::Headers,
        Flood::Interim,
        Flood::Chunks,
        Flood::Unframed,
        Flood::Trickle,
        Flood::Event,
        Flood::Events,
        Flood::SameEvents,
        Flood::Trailers,
    ];

    /// How the answer to a request begins, and what it goes on with again and again.
    pub(super) fn bytes(self, request: &str) -> (String, &'static str) {
        let echo = |name: &str| {
            let mut lines = request.lines();
            let line = lines.find(|l| l.to_ascii_lowercase().starts_with(name));
            line.map_or(String::new(), |l| format!("{l}\r\n"))
        };
        let kind = match request.contains(" /stream/") {
            true => "text/event-stream",
            false => "application/json",
        };
        let attempt = echo("x-attempt-id:");
        let head = format!(
            "HTTP/1.1 200 OK\r\n{attempt}X-Response-Stamp: flood\r\nContent-Type: {kind}\r\n"
        );
        let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
        match self {
            Flood::StatusLine => ("HTTP/1.1 200 ".to_string(), "O"),
            Flood::Headers => (head, "X-More: more\r\n"),
            Flood::Interim => (String::new(), "HTTP/1.1 103 Early Hints\r\n\r\n"),
            Flood::Chunks => (chunked, "10\r\nxxxxxxxxxxxxxxxx\r\n"),
            Flood::Trickle => (chunked, "1\r\nx\r\n"),
            Flood::Unframed => (format!("{head}\r\n"), "x"),
            Flood::Event => (chunked, "10\r\ndata: xxxxxxxxx\n\r\n"),
            Flood::Events => (chunked, "10\r\ndata: xxxxxxxx\n\n\r\n"),
            Flood::RisingEvents => (chunked, ""),
            Flood::SameEvents => (chunked, "10\r\nid: 1\ndata: xx\n\n\r\n"),
            Flood::Trailers => (format!("{chunked}0\r\n"), "X-More: more\r\n"),
            Flood::Surplus => (format!("{head}Content-Length: 2\r\n\r\n{{}}"), "x"),
        }
    }

    /// Pause between two writes.
    pub(super) fn pause(self) -> Duration {
        match self {
            Flood::Trickle => Duration::from_millis(100),
            _ => Duration::ZERO,
        }
    }

    /// The next bytes after the beginning, at most `max`; `repeated` is what the answer goes on with, and
    /// `number` that of the next event with an id.
    pub(super) fn block(self, repeated: &str, max: usize, number: &mut u64) -> String {
        match self {
            Flood::Trickle => repeated.to_string(),
            Flood::RisingEvents => {
                let mut block = String::new();
                while block.len() < max / 2 {
                    let event = format!("id: {number}\ndata: {:0>200}\n\n", number);
                    block += &format!("{:x}\r\n{event}\r\n", event.len());
                    *number += 1;
                }
                block
            }
            _ => repeated.repeat(max / repeated.len()),
        }
    }
}
