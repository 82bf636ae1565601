//! The platform: its key-value service and its instance list.
//!
//! The service is met through the HTTP/JSON form of the etcd v3 API.

mod kv_client;
mod kv_json;
mod list_client;
mod platform_settings;
mod watcher;

pub use kv_client::KvClient;
pub use list_client::ListClient;
pub use platform_settings::PlatformSettings;
pub use watcher::Watcher;
