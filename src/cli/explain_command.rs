use pico_args::Arguments;

use super::command::no_more;
use super::operator_client::OperatorClient;
use super::{CliError, CliErrorKind};
use crate::observe::LoggedNote;

/// Shows the events that mention a subject.
pub(super) fn explain(mut args: Arguments) -> Result<(), CliError> {
    let json = args.contains("--json");
    let client = OperatorClient::from_args(&mut args, "explain")?;
    let subject: String = args
        .free_from_str()
        .map_err(|_| CliError::usage("SUBJECT is missing", "explain"))?;
    no_more(args, "explain")?;
    let answer = client.get(&format!("events?about={}", subject.replace('/', "%2F")))?;
    if json {
        println!("{answer}");
        return Ok(());
    }
    let notes: Vec<LoggedNote> = serde_json::from_value(answer)
        .map_err(|e| CliError::new(CliErrorKind::Refused, e.to_string()))?;
    if notes.is_empty() {
        println!("this router has no event about {subject}; ask the others, too");
    }
    for note in notes {
        println!("{:>10.3} s  {}", note.at_ms as f64 / 1_000.0, note.text);
    }
    Ok(())
}
