use std::sync::mpsc::{sync_channel, SyncSender};

use serde::Deserialize;

use super::kv_client::http_agent;
use super::PlatformSettings;
use crate::logic::router::ListReply;
use crate::types::Instance;

/// The instance list as the platform serves it.
#[derive(Deserialize)]
struct Document {
    instances: Vec<Instance>,
}

/// Fetches the instance list from a thread of its own.
#[derive(Clone)]
pub struct ListClient {
    wake: SyncSender<()>,
}

impl ListClient {
    /// Starts the thread; `results` is called on it.
    ///
    /// # Errors
    /// Returns the error of a thread that can't be started.
    pub fn start(
        settings: &PlatformSettings,
        hall: &str,
        results: impl Fn(ListReply) + Send + 'static,
    ) -> std::io::Result<Self> {
        let (wake, woken) = sync_channel(1);
        let agent = http_agent(settings);
        // Routers everywhere, other instances of the own hall only.
        let url = format!("http://{}/instances?hall={hall}", settings.list);
        std::thread::Builder::new()
            .name("list".into())
            .spawn(move || {
                let mut tag = None;
                while woken.recv().is_ok() {
                    results(fetch(&agent, &url, &mut tag));
                }
            })?;
        Ok(Self { wake })
    }

    /// Fetches the list, unless a fetch is under way.
    pub fn fetch(&self) {
        let _ = self.wake.try_send(());
    }
}

fn fetch(agent: &ureq::Agent, url: &str, tag: &mut Option<String>) -> ListReply {
    let mut request = agent.get(url);
    if let Some(tag) = tag.as_ref() {
        request = request.header("If-None-Match", tag);
    }
    let Ok(mut response) = request.call() else {
        return ListReply::Unreachable;
    };
    if response.status() == 304 {
        return ListReply::Unchanged;
    }
    let new_tag = response.headers().get("etag");
    let new_tag = new_tag.and_then(|v| v.to_str().ok()).map(str::to_string);
    let text = response.body_mut().read_to_string();
    let document = text
        .ok()
        .and_then(|t| serde_json::from_str::<Document>(&t).ok());
    match document {
        Some(document) if response.status() == 200 => {
            *tag = new_tag;
            ListReply::Instances(document.instances)
        }
        _ => ListReply::Unreachable,
    }
}
