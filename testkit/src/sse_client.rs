use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::Value;

/// An HTTP request of a caller.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// Path.
    pub path: String,
    /// Body.
    pub body: String,
    /// Headers besides the content type.
    pub headers: Vec<(String, String)>,
}

/// Answer that a caller received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status; 0 when there was no answer.
    pub status: u16,
    /// Text of the answer: the streamed pieces joined, or the body.
    pub text: String,
    /// Number of pieces of a stream.
    pub pieces: u64,
    /// Whether the answer arrived completely: a stream up to `[DONE]`.
    pub whole: bool,
    /// Field `outcome` of a problem document or of an error event.
    pub outcome: Option<String>,
    /// Value of the header `Retry-After`.
    pub retry_after: Option<String>,
    /// Value of the header `Runrail-Request`.
    pub request: Option<String>,
    /// Time to the first piece.
    pub first: Option<Duration>,
}

impl Answer {
    /// Whether the answer is complete and reports no failure.
    pub fn is_answered(&self) -> bool {
        self.whole && self.outcome.is_none() && self.status < 400
    }
}

/// Sends a request and reads its answer to the end, for at most 60 s.
pub fn post(addr: SocketAddr, call: &Call) -> Answer {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(60)))
        .build()
        .into();
    let start = Instant::now();
    let mut request = agent
        .post(format!("http://{addr}{}", call.path))
        .header("Content-Type", "application/json");
    for (name, value) in &call.headers {
        request = request.header(name, value);
    }
    let Ok(response) = request.send(&call.body) else {
        return Answer::default();
    };
    let header = |name: &str| {
        let value = response.headers().get(name)?;
        value.to_str().ok().map(str::to_string)
    };
    let mut answer = Answer {
        status: response.status().as_u16(),
        retry_after: header("Retry-After"),
        request: header("Runrail-Request"),
        ..Answer::default()
    };
    let streamed = header("Content-Type").as_deref() == Some("text/event-stream");
    let reader = BufReader::new(response.into_body().into_reader());
    if streamed {
        read_stream(&mut answer, reader, start);
    } else {
        read_whole(&mut answer, reader);
    }
    answer
}

fn read_whole(answer: &mut Answer, mut reader: impl BufRead) {
    answer.whole = reader.read_to_string(&mut answer.text).is_ok();
    answer.outcome = outcome(&answer.text);
}

fn outcome(text: &str) -> Option<String> {
    let value: Value = serde_json::from_str(text).ok()?;
    value["outcome"].as_str().map(str::to_string)
}

fn read_stream(answer: &mut Answer, reader: impl BufRead, start: Instant) {
    let mut failed = false;
    for line in reader.lines() {
        let Ok(line) = line else {
            return;
        };
        if line.starts_with("event: error") {
            failed = true;
        }
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            answer.whole = true;
        } else if failed {
            answer.outcome = outcome(data);
        } else if let Ok(value) = serde_json::from_str::<Value>(data) {
            if let Some(text) = value["choices"][0]["delta"]["content"].as_str() {
                answer.first.get_or_insert(start.elapsed());
                answer.pieces += 1;
                answer.text.push_str(text);
            }
        }
    }
}
