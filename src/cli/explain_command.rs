use std::fs::File;
use std::io::{self, BufRead, BufReader};

use pico_args::Arguments;

use super::command::{optional_value, reject_rest};
use super::operator_client::OperatorClient;
use super::{CliError, CliErrorKind};
use crate::observe::LoggedEvent;

/// Runs `explain`: prints the events that mention a subject.
pub(super) fn explain(mut args: Arguments) -> Result<(), CliError> {
    let json = args.contains("--json");
    if let Some(file) = optional_value(&mut args, "--log", "explain")? {
        return explain_log(args, &file);
    }
    let client = OperatorClient::from_args(&mut args, "explain")?;
    let subject: String = args
        .free_from_str()
        .map_err(|_| CliError::usage("SUBJECT is missing", "explain"))?;
    reject_rest(args, "explain")?;
    let answer = client.get(&format!("events?about={}", subject.replace('/', "%2F")))?;
    if json {
        println!("{answer}");
        return Ok(());
    }
    let events: Vec<LoggedEvent> = serde_json::from_value(answer)
        .map_err(|e| CliError::new(CliErrorKind::Refused, e.to_string()))?;
    if events.is_empty() {
        println!("this router has no event about {subject}; other routers may have some");
    }
    for event in events {
        println!("{:>10.3} s  {}", event.at_ms as f64 / 1_000.0, event.text);
    }
    Ok(())
}

/// Prints the lines of a log file that mention a subject; `-` is standard input.
fn explain_log(args: Arguments, file: &str) -> Result<(), CliError> {
    let mut args = args;
    let subject: String = args
        .free_from_str()
        .map_err(|_| CliError::usage("SUBJECT is missing", "explain"))?;
    reject_rest(args, "explain")?;
    let lines: Box<dyn BufRead> = if file == "-" {
        Box::new(io::stdin().lock())
    } else {
        let opened = File::open(file);
        let opened =
            opened.map_err(|e| CliError::new(CliErrorKind::File, format!("{file}: {e}")))?;
        Box::new(BufReader::new(opened))
    };
    let mut found = 0;
    for line in lines.lines().map_while(Result::ok) {
        if mentions(&line, &subject) {
            println!("{line}");
            found += 1;
        }
    }
    if found == 0 {
        println!("no line about {subject}; check the logs of the other routers, too");
    }
    Ok(())
}

/// Whether a quoted value of a log line is the subject, or a list that contains it.
fn mentions(line: &str, subject: &str) -> bool {
    let values = line.split('"').skip(1).step_by(2);
    let mut parts = values.flat_map(|v| v.split(','));
    parts.any(|part| part == subject)
}
