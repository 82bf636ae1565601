use std::io::BufRead;

use serde_json::Value;

/// Longest line of a stream, in bytes.
const LINE_LIMIT: usize = 1024 * 1024;

/// One item of an engine's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SseItem {
    /// Text that follows what came before.
    Text(String),
    /// The engine has stopped the request on a cancel order.
    Cancelled,
    /// The answer is complete.
    Done,
}

/// Reads server-sent events of the chat-completions API.
#[derive(Debug)]
pub struct SseReader<R> {
    lines: R,
}

impl<R: BufRead> SseReader<R> {
    /// Reads from a stream.
    pub fn new(lines: R) -> Self {
        Self { lines }
    }

    /// The next item; `None` when the stream ends or breaks before `[DONE]`.
    pub fn next_item(&mut self) -> Option<SseItem> {
        let mut line = String::new();
        loop {
            line.clear();
            let read = self.lines.read_line(&mut line).ok()?;
            if read == 0 || read > LINE_LIMIT {
                return None;
            }
            let Some(data) = line.trim_end().strip_prefix("data:") else {
                continue;
            };
            if let Some(item) = item(data.trim()) {
                return Some(item);
            }
        }
    }
}

fn item(data: &str) -> Option<SseItem> {
    if data == "[DONE]" {
        return Some(SseItem::Done);
    }
    let value: Value = serde_json::from_str(data).ok()?;
    let choice = &value["choices"][0];
    if choice["finish_reason"] == "cancelled" {
        return Some(SseItem::Cancelled);
    }
    let text = choice["delta"]["content"].as_str()?;
    (!text.is_empty()).then(|| SseItem::Text(text.to_string()))
}
