use std::fmt::Write;

use pico_args::Arguments;

use super::command::reject_rest;
use super::operator_client::OperatorClient;
use super::{CliError, CliErrorKind};
use crate::logic::router::FleetStatus;

/// Runs `status`: prints the state of the fleet.
pub(super) fn status(mut args: Arguments) -> Result<(), CliError> {
    let json = args.contains("--json");
    let client = OperatorClient::from_args(&mut args, "status")?;
    reject_rest(args, "status")?;
    let answer = client.get("status")?;
    if json {
        println!("{answer}");
        return Ok(());
    }
    let status: FleetStatus = serde_json::from_value(answer)
        .map_err(|e| CliError::new(CliErrorKind::Refused, e.to_string()))?;
    print!("{}", status_table(&status));
    Ok(())
}

/// Formats the state of the fleet as a table for a terminal.
pub fn status_table(status: &FleetStatus) -> String {
    let yes_no = |b| if b { "yes" } else { "no" };
    let mut text = format!(
        "router {}  hall {}  planner {}  bundle {} (proved newest: {})  service {}  in flight {}\n",
        status.router,
        status.hall,
        yes_no(status.planner),
        status.bundle,
        yes_no(status.proven),
        if status.store_up { "up" } else { "DOWN" },
        status.requests,
    );
    let _ = writeln!(
        text,
        "{:<16} {:>6} {:<14} {:<8} {:>7} {:>7} {:>6}  {:<24} members",
        "group", "epoch", "model", "version", "running", "waiting", "slots", "state"
    );
    for g in &status.groups {
        let _ = writeln!(
            text,
            "{:<16} {:>6} {:<14} {:<8} {:>7} {:>7} {:>6}  {:<24} {}",
            g.id,
            g.epoch,
            g.model,
            g.version,
            g.running,
            g.waiting,
            g.slots,
            g.state,
            g.members.join(" ")
        );
    }
    let spares = if status.spares.is_empty() {
        "none".to_string()
    } else {
        status.spares.join(" ")
    };
    let _ = writeln!(text, "outside any group: {spares}");
    text
}
