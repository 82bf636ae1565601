use std::time::Duration;

use pico_args::Arguments;
use serde_json::Value;

use super::command::optional_value;
use super::{CliError, CliErrorKind};
use crate::http::ProblemJson;

/// Timeout of a call; longer than the 10 s within which the router answers.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Client of a router's API for operators.
pub(super) struct OperatorClient {
    router: String,
    token: String,
    agent: ureq::Agent,
}

impl OperatorClient {
    /// Reads the router's address and the token file from the command line or the
    /// environment.
    pub fn from_args(args: &mut Arguments, command: &str) -> Result<Self, CliError> {
        let router = option_or_env(args, "--router", "RUNRAIL_ROUTER", command)?;
        let file = option_or_env(args, "--token-file", "RUNRAIL_TOKEN_FILE", command)?;
        let token = std::fs::read_to_string(&file)
            .map_err(|e| CliError::new(CliErrorKind::File, format!("{file}: {e}")))?;
        let token = token.trim().to_string();
        if token.is_empty() || !token.chars().all(|c| c.is_ascii_graphic()) {
            let message = format!("{file}: found no token, expected one line of visible ASCII");
            return Err(CliError::new(CliErrorKind::File, message));
        }
        let agent = ureq::Agent::config_builder()
            .timeout_global(Some(CALL_TIMEOUT))
            .http_status_as_error(false)
            .build()
            .into();
        Ok(Self {
            router,
            token,
            agent,
        })
    }

    /// Sends a GET request.
    pub fn get(&self, path: &str) -> Result<Value, CliError> {
        let request = self.agent.get(self.url(path));
        let answer = request.header("Authorization", self.bearer()).call();
        self.read(answer)
    }

    /// Sends a POST request.
    pub fn post(&self, path: &str, body: &str) -> Result<Value, CliError> {
        let request = self.agent.post(self.url(path));
        let answer = request.header("Authorization", self.bearer()).send(body);
        self.read(answer)
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/operator/v1/{path}", self.router)
    }

    fn bearer(&self) -> String {
        format!("Bearer {}", self.token)
    }

    fn read(
        &self,
        answer: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    ) -> Result<Value, CliError> {
        let mut answer = answer.map_err(|e| self.call_error(&e))?;
        let text = answer
            .body_mut()
            .read_to_string()
            .map_err(|e| self.call_error(&e))?;
        if answer.status().is_success() {
            return serde_json::from_str(&text).map_err(|e| {
                CliError::new(
                    CliErrorKind::Refused,
                    format!("{}: the response is not valid JSON: {e}", self.router),
                )
            });
        }
        Err(match serde_json::from_str::<ProblemJson>(&text) {
            Ok(problem) if problem.outcome == "unknown" => {
                CliError::new(CliErrorKind::Unknown, problem.detail)
                    .with_hint("`runrail bundle status` before trying again")
            }
            Ok(problem) => CliError::new(CliErrorKind::Refused, problem.detail),
            Err(_) => CliError::new(
                CliErrorKind::Refused,
                format!("HTTP status {}", answer.status()),
            ),
        })
    }

    fn call_error(&self, error: &ureq::Error) -> CliError {
        let message = format!("{}: {error}", self.router);
        let refused = matches!(error, ureq::Error::ConnectionFailed)
            || matches!(error, ureq::Error::Io(e) if e.kind() == std::io::ErrorKind::ConnectionRefused);
        let kind = if refused {
            CliErrorKind::Refused
        } else {
            CliErrorKind::Unknown
        };
        CliError::new(kind, message).with_hint("another router's address with --router")
    }
}

fn option_or_env(
    args: &mut Arguments,
    name: &'static str,
    variable: &str,
    command: &str,
) -> Result<String, CliError> {
    if let Some(value) = optional_value(args, name, command)? {
        return Ok(value);
    }
    std::env::var(variable).map_err(|_| {
        CliError::usage(
            format!("{name} is missing, and {variable} isn't set"),
            command,
        )
    })
}
