use std::io::{self, Write};

use chunked_transfer::Encoder;
use serde_json::json;

use super::problem_json;
use crate::logic::router::Problem;

/// Writes an answer as server-sent events of the chat-completions API.
///
/// `tiny_http` holds streamed bodies back, so the head is written here and
/// each piece is flushed through both writers.
pub(super) struct SseWriter {
    encoder: Encoder<FlushLast>,
    request: String,
    model: String,
}

impl SseWriter {
    /// Writes the head.
    pub fn begin(
        mut writer: Box<dyn Write + Send>,
        request: &str,
        model: &str,
    ) -> io::Result<Self> {
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n\
             Runrail-Request: {request}\r\nTransfer-Encoding: chunked\r\n\r\n"
        )?;
        writer.flush()?;
        Ok(Self {
            encoder: Encoder::with_flush_after_write(FlushLast(writer)),
            request: request.to_string(),
            model: model.to_string(),
        })
    }

    /// Writes one piece of text.
    pub fn piece(&mut self, text: &str) -> io::Result<()> {
        self.chunk(json!({ "content": text }), None)
    }

    /// Writes the end of a complete answer.
    pub fn finish(mut self) -> io::Result<()> {
        self.chunk(json!({}), Some("stop"))?;
        self.event("data: [DONE]\n\n")?;
        Ok(())
    }

    /// Writes a problem; no `[DONE]` follows, so that it can't pass for an end.
    pub fn fail(mut self, problem: &Problem) -> io::Result<()> {
        let body = serde_json::to_string(&problem_json(problem, Some(&self.request)))?;
        self.event(&format!("event: error\ndata: {body}\n\n"))?;
        Ok(())
    }

    fn chunk(&mut self, delta: serde_json::Value, finish: Option<&str>) -> io::Result<()> {
        let body = json!({
            "id": self.request,
            "object": "chat.completion.chunk",
            "model": self.model,
            "choices": [{ "index": 0, "delta": delta, "finish_reason": finish }],
        });
        self.event(&format!("data: {body}\n\n"))
    }

    fn event(&mut self, text: &str) -> io::Result<()> {
        self.encoder.write_all(text.as_bytes())?;
        self.encoder.flush()?;
        self.encoder.get_mut().flush()
    }
}

/// Flushes once more when it is dropped.
///
/// The encoder writes the last chunk when it is dropped itself, and drops its
/// writer after that.
struct FlushLast(Box<dyn Write + Send>);

impl Write for FlushLast {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.0.flush()
    }
}

impl Drop for FlushLast {
    fn drop(&mut self) {
        // A caller that has hung up needs no end.
        let _ = self.0.flush();
    }
}
