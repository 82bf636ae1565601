use std::fmt;

/// An HTTP/1.1 request with the headers of a caller of the platform; it is displayed as it is sent.
#[derive(Clone, Copy, Debug)]
pub struct CallerRequest<'a> {
    /// API key.
    pub key: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path.
    pub path: &'a str,
    /// Attempt id.
    pub attempt: &'a str,
    /// Value of the header `Connection`.
    pub connection: &'a str,
    /// Segments of the prompt, `ID:TOKENS` joined by commas; empty for a request without them.
    pub segments: &'a str,
    /// Time that the caller waits for the answer, in milliseconds.
    pub wait_ms: u64,
    /// Body.
    pub body: &'a str,
}

impl Default for CallerRequest<'_> {
    fn default() -> Self {
        Self {
            key: "k1",
            method: "POST",
            path: "/stream/x",
            attempt: "",
            connection: "close",
            segments: "",
            wait_ms: 6_000,
            body: "",
        }
    }
}

impl fmt::Display for CallerRequest<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { method, path, .. } = self;
        write!(f, "{method} {path} HTTP/1.1\r\nHost: a.example\r\n")?;
        write!(f, "Authorization: Bearer {}\r\n", self.key)?;
        write!(f, "X-Attempt-Id: {}\r\n", self.attempt)?;
        write!(f, "X-Model: big\r\nX-Token-Counts: 10,10\r\n")?;
        if !self.segments.is_empty() {
            write!(f, "X-Prompt-Prefix: {}\r\n", self.segments)?;
        }
        write!(f, "X-Deadline-Ms: {}\r\n", self.wait_ms)?;
        write!(f, "Connection: {}\r\n", self.connection)?;
        let length = self.body.len();
        write!(f, "Content-Length: {length}\r\n\r\n{}", self.body)
    }
}
