//! HTTP servers for callers and operators.

mod body;
mod caller_api;
mod caller_guard;
mod http_server;
mod operator_api;
mod problem_json;
mod reply_body;
mod server_limits;
mod sse_body;

pub(crate) use caller_api::CallerApi;
use caller_guard::CallerGuard;
use http_server::Checked;
pub(crate) use http_server::HttpServer;
pub use operator_api::BundleRow;
pub(crate) use operator_api::OperatorApi;
pub use problem_json::{problem_json, ProblemJson};
use reply_body::ReplyBody;
pub(crate) use server_limits::ServerLimits;
