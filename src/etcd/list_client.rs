use std::sync::mpsc::{sync_channel, SyncSender};

use serde::Deserialize;

use super::kv_client::http_agent;
use super::PlatformSettings;
use crate::logic::router::ListReply;
use crate::types::Instance;

/// The instance list as the platform sends it.
#[derive(Deserialize)]
struct Document {
    instances: Vec<Instance>,
}

/// Fetches the instance list on a dedicated thread.
#[derive(Clone)]
pub struct ListClient {
    wake: SyncSender<()>,
}

impl ListClient {
    /// Starts the thread; `results` is called on it.
    ///
    /// # Errors
    /// Returns an error if the thread can't be started.
    pub fn start(
        settings: &PlatformSettings,
        hall: &str,
        results: impl Fn(ListReply) + Send + 'static,
    ) -> std::io::Result<Self> {
        let (wake, wakeups) = sync_channel(1);
        let agent = http_agent(settings);
        // The platform answers with the routers of all halls and the other instances of
        // this one.
        let url = format!("http://{}/instances?hall={hall}", settings.list_addr);
        std::thread::Builder::new()
            .name("list".into())
            .spawn(move || {
                let mut etag = None;
                while wakeups.recv().is_ok() {
                    results(fetch(&agent, &url, &mut etag));
                }
            })?;
        Ok(Self { wake })
    }

    /// Requests a fetch; at most one waits behind the one in progress.
    pub fn fetch(&self) {
        let _ = self.wake.try_send(());
    }
}

fn fetch(agent: &ureq::Agent, url: &str, etag: &mut Option<String>) -> ListReply {
    let mut request = agent.get(url);
    if let Some(etag) = etag.as_ref() {
        request = request.header("If-None-Match", etag);
    }
    let Ok(mut response) = request.call() else {
        return ListReply::Unreachable;
    };
    if response.status() == 304 {
        return ListReply::Unchanged;
    }
    let new_etag = response.headers().get("etag");
    let new_etag = new_etag.and_then(|v| v.to_str().ok()).map(str::to_string);
    let text = response.body_mut().read_to_string();
    let document = text
        .ok()
        .and_then(|t| serde_json::from_str::<Document>(&t).ok());
    match document {
        Some(document) if response.status() == 200 => {
            *etag = new_etag;
            ListReply::Instances(document.instances)
        }
        _ => ListReply::Unreachable,
    }
}
