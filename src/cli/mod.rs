//! The command line.

mod bundle_command;
mod check_command;
mod cli_error;
mod cli_error_kind;
mod command;
mod exit;
mod explain_command;
mod help;
mod metrics_command;
mod operator_client;
mod serve_command;
mod status_command;

pub use cli_error::CliError;
pub use cli_error_kind::CliErrorKind;
pub use command::run;
pub use exit::Exit;
pub use metrics_command::{metrics_bars, metrics_table};
pub use status_command::status_table;
