use std::io::{self, Write};

use chunked_transfer::Encoder;
use serde_json::json;

use super::problem_json;
use crate::logic::router::Problem;

/// Writes a streamed answer as server-sent events of the chat-completions API.
///
/// `tiny_http` buffers streamed bodies, so the response head is written here, and
/// after each event both the chunk encoder and the connection are flushed.
pub(super) struct SseWriter {
    encoder: Encoder<FlushOnDrop>,
    request: String,
    model: String,
}

impl SseWriter {
    /// Writes the response head.
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
            encoder: Encoder::with_flush_after_write(FlushOnDrop(writer)),
            request: request.to_string(),
            model: model.to_string(),
        })
    }

    /// Writes one piece of text.
    pub fn write_piece(&mut self, text: &str) -> io::Result<()> {
        self.write_chunk(json!({ "content": text }), None)
    }

    /// Writes the end of a complete answer.
    pub fn write_end(mut self) -> io::Result<()> {
        self.write_chunk(json!({}), Some("stop"))?;
        self.write_event("data: [DONE]\n\n")?;
        Ok(())
    }

    /// Writes a problem; no `[DONE]` follows, so that the caller can't take the answer for
    /// a complete one.
    pub fn write_problem(mut self, problem: &Problem) -> io::Result<()> {
        let body = serde_json::to_string(&problem_json(problem, Some(&self.request)))?;
        self.write_event(&format!("event: error\ndata: {body}\n\n"))?;
        Ok(())
    }

    fn write_chunk(&mut self, delta: serde_json::Value, finish: Option<&str>) -> io::Result<()> {
        let body = json!({
            "id": self.request,
            "object": "chat.completion.chunk",
            "model": self.model,
            "choices": [{ "index": 0, "delta": delta, "finish_reason": finish }],
        });
        self.write_event(&format!("data: {body}\n\n"))
    }

    fn write_event(&mut self, text: &str) -> io::Result<()> {
        self.encoder.write_all(text.as_bytes())?;
        self.encoder.flush()?;
        self.encoder.get_mut().flush()
    }
}

/// Flushes the connection when dropped.
///
/// The encoder writes the last chunk in its own `drop` and drops this writer after that.
struct FlushOnDrop(Box<dyn Write + Send>);

impl Write for FlushOnDrop {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.0.flush()
    }
}

impl Drop for FlushOnDrop {
    fn drop(&mut self) {
        // If the caller has disconnected, the last chunk isn't needed.
        let _ = self.0.flush();
    }
}
