//! HTTP servers for callers and operators.

mod body;
mod caller_api;
mod http_server;
mod operator_api;
mod problem_json;
mod sse_writer;

pub use caller_api::CallerApi;
pub use http_server::HttpServer;
pub use operator_api::{BundleRow, OperatorApi};
pub use problem_json::{problem_json, ProblemJson};
