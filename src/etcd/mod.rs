//! Clients of the platform: its key-value service (the store, for short) and its instance list.
//!
//! The key-value service is reached through the HTTP/JSON gateway of the etcd v3 API.

mod kv_client;
mod kv_json;
mod list_client;
mod platform_settings;
mod watcher;

pub use kv_client::KvClient;
pub use list_client::ListClient;
pub use platform_settings::PlatformSettings;
pub use watcher::Watcher;
