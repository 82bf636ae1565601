use std::io::BufRead;

use serde_json::Value;

/// Maximum length of a line of a stream; a longer one counts as a broken stream.
const MAX_LINE_BYTES: usize = 1024 * 1024;

/// One item of an engine's answer stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SseItem {
    /// Text that continues the answer.
    Text(String),
    /// The engine has ended the run on a cancel order.
    Cancelled,
    /// The answer is complete.
    Done,
}

/// Parses the server-sent events of the chat-completions API.
#[derive(Debug)]
pub struct SseReader<R> {
    lines: R,
}

impl<R: BufRead> SseReader<R> {
    /// A reader of a stream of lines.
    pub fn new(lines: R) -> Self {
        Self { lines }
    }

    /// Reads the next item; `None` if the stream ends or fails before `[DONE]`.
    pub fn next_item(&mut self) -> Option<SseItem> {
        let mut line = String::new();
        loop {
            line.clear();
            let read = self.lines.read_line(&mut line).ok()?;
            if read == 0 || read > MAX_LINE_BYTES {
                return None;
            }
            let Some(data) = line.trim_end().strip_prefix("data:") else {
                continue;
            };
            if let Some(item) = parse_item(data.trim()) {
                return Some(item);
            }
        }
    }
}

fn parse_item(data: &str) -> Option<SseItem> {
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
