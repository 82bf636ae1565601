//! Client of the endpoint beside an agent: a model engine or a plain service.

mod endpoint_client;
mod endpoint_settings;
mod sse_reader;

pub use endpoint_client::EndpointClient;
pub use endpoint_settings::EndpointSettings;
pub use sse_reader::{SseItem, SseReader};
