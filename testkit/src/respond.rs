use std::io::Write;

use tiny_http::{Header, Request, Response, StatusCode};

/// Reads a body as JSON; null when it isn't valid JSON.
pub(crate) fn read_json(request: &mut Request) -> serde_json::Value {
    let mut text = String::new();
    let _ = request.as_reader().read_to_string(&mut text);
    serde_json::from_str(&text).unwrap_or_default()
}

/// Value of a header.
pub(crate) fn header(request: &Request, name: &'static str) -> Option<String> {
    let found = request.headers().iter().find(|h| h.field.equiv(name));
    found.map(|h| h.value.to_string())
}

/// Answers with JSON.
pub(crate) fn json(request: Request, status: u16, body: &serde_json::Value) {
    let mut response = Response::from_data(body.to_string()).with_status_code(StatusCode(status));
    if let Ok(header) = Header::from_bytes("Content-Type", "application/json") {
        response.add_header(header);
    }
    let _ = request.respond(response);
}

/// Writes the head of a chunked stream.
pub(crate) fn stream_head(writer: &mut dyn Write, kind: &str) -> std::io::Result<()> {
    write!(
        writer,
        "HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nTransfer-Encoding: chunked\r\n\r\n"
    )?;
    writer.flush()
}

/// Writes one chunk; an empty one ends the stream.
pub(crate) fn chunk(writer: &mut dyn Write, text: &str) -> std::io::Result<()> {
    write!(writer, "{:x}\r\n{text}\r\n", text.len())?;
    writer.flush()
}
