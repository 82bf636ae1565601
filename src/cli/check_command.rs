use std::path::Path;

use pico_args::Arguments;

use super::command::{optional_value, reject_rest};
use super::{CliError, CliErrorKind};
use crate::settings::{AgentSettings, DirectSettings, RouterSettings};
use crate::types::{BundleBody, BundleFault};

/// Runs `check`: checks files and reports all their faults.
pub(super) fn check(mut args: Arguments) -> Result<(), CliError> {
    let settings = optional_value(&mut args, "--settings", "check")?;
    let role = optional_value(&mut args, "--role", "check")?;
    let bundle = optional_value(&mut args, "--bundle", "check")?;
    reject_rest(args, "check")?;
    if settings.is_none() && bundle.is_none() {
        return Err(CliError::usage(
            "neither --settings nor --bundle was given",
            "check",
        ));
    }
    let mut faults = Vec::new();
    if let Some(file) = &settings {
        if let Err(text) = check_settings(file, role.as_deref())? {
            faults.push(text);
        } else {
            println!("{file}: good");
        }
    }
    if let Some(file) = &bundle {
        if let Err(text) = check_bundle(file) {
            faults.push(text);
        } else {
            println!("{file}: good");
        }
    }
    if faults.is_empty() {
        return Ok(());
    }
    Err(CliError::new(CliErrorKind::File, faults.join("\n")))
}

fn check_settings(file: &str, role: Option<&str>) -> Result<Result<(), String>, CliError> {
    let path = Path::new(file);
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let guessed = if text.contains("[endpoint]") {
        "agent"
    } else if DirectSettings::is_meant(path) {
        "direct"
    } else {
        "router"
    };
    let result = match role.unwrap_or(guessed) {
        "router" => RouterSettings::load(path).map(|_| ()),
        "agent" => AgentSettings::load(path).map(|_| ()),
        "direct" => DirectSettings::load(path).map(|s| print_missing_values(file, &s)),
        other => {
            let message = format!("--role: found {other:?}, expected router, direct or agent");
            return Err(CliError::usage(message, "check"));
        }
    };
    Ok(result.map_err(|e| e.to_string()))
}

/// Prints the values that a file lacks and what is used instead; they aren't faults.
fn print_missing_values(file: &str, settings: &DirectSettings) {
    for missing in &settings.missing_values {
        println!("{file}: {missing}");
    }
}

fn check_bundle(file: &str) -> Result<(), String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{file}: {e}"))?;
    let body: BundleBody = serde_json::from_str(&text).map_err(|e| format!("{file}: {e}"))?;
    let faults = BundleFault::find_all(&body);
    if faults.is_empty() {
        return Ok(());
    }
    let lines: Vec<_> = faults.iter().map(|f| format!("\n  {f}")).collect();
    Err(format!("{file}: {} faults{}", faults.len(), lines.concat()))
}
