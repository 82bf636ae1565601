use pico_args::Arguments;
use serde::Deserialize;

use super::command::reject_rest;
use super::operator_client::OperatorClient;
use super::{CliError, CliErrorKind};
use crate::http::BundleRow;

/// Actions of the command.
const VERBS: [&str; 4] = ["submit", "approve", "roll", "status"];

#[derive(Deserialize)]
struct BundleList {
    head: u64,
    bundles: Vec<BundleRow>,
}

/// Runs `bundle`: submits, approves, rolls or lists bundles.
pub(super) fn bundle(mut args: Arguments) -> Result<(), CliError> {
    let verb = args.subcommand().ok().flatten().unwrap_or_default();
    if !VERBS.contains(&verb.as_str()) {
        let message = format!("found {verb:?}, expected one of {}", VERBS.join(", "));
        return Err(CliError::usage(message, "bundle"));
    }
    let client = OperatorClient::from_args(&mut args, "bundle")?;
    match verb.as_str() {
        "submit" => submit(&client, args),
        "status" => {
            reject_rest(args, "bundle")?;
            list(&client)
        }
        verb => change(&client, verb, args),
    }
}

fn positional(args: &mut Arguments, name: &str) -> Result<String, CliError> {
    args.free_from_str()
        .map_err(|_| CliError::usage(format!("{name} is missing"), "bundle"))
}

fn submit(client: &OperatorClient, mut args: Arguments) -> Result<(), CliError> {
    let file = positional(&mut args, "FILE")?;
    reject_rest(args, "bundle")?;
    let body = std::fs::read_to_string(&file)
        .map_err(|e| CliError::new(CliErrorKind::File, format!("{file}: {e}")))?;
    let answer = client.post("bundles", &body)?;
    let number = &answer["submitted"];
    println!("submitted as bundle {number}; another operator approves it with");
    println!("  runrail bundle approve {number}");
    Ok(())
}

fn change(client: &OperatorClient, verb: &str, mut args: Arguments) -> Result<(), CliError> {
    let number = positional(&mut args, "NUMBER")?;
    reject_rest(args, "bundle")?;
    client.post(&format!("bundles/{number}/{verb}"), "")?;
    let done = if verb == "roll" {
        "in force"
    } else {
        "approved"
    };
    println!("bundle {number} is {done}");
    Ok(())
}

fn list(client: &OperatorClient) -> Result<(), CliError> {
    let answer = client.get("bundles")?;
    let list: BundleList = serde_json::from_value(answer)
        .map_err(|e| CliError::new(CliErrorKind::Refused, e.to_string()))?;
    println!("in force: {}", list.head);
    println!(
        "{:>6}  {:<8}  {:<12}  {:<12}  title",
        "number", "state", "author", "approved by"
    );
    for row in list.bundles {
        let state = match (row.in_force, &row.approved_by) {
            (true, _) => "in force",
            (false, Some(_)) => "approved",
            (false, None) => "waits",
        };
        println!(
            "{:>6}  {state:<8}  {:<12}  {:<12}  {}",
            row.number,
            row.author,
            row.approved_by.as_deref().unwrap_or("-"),
            row.title
        );
    }
    Ok(())
}
