use std::io::Write;
use std::path::Path;

use log::LevelFilter;
use pico_args::Arguments;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use super::command::{no_more, required};
use super::{CliError, CliErrorKind};
use crate::host::{run_agent, run_router, HostEvent, Inbox, Running};
use crate::logic::Event;
use crate::settings::{AgentSettings, RouterSettings};

/// Runs a router.
pub(super) fn router(mut args: Arguments) -> Result<(), CliError> {
    let file = required(&mut args, "--settings", "router")?;
    no_more(args, "router")?;
    let settings = RouterSettings::load(Path::new(&file)).map_err(wrong_file)?;
    start_log();
    serve(run_router(settings).map_err(cannot_start)?)
}

/// Runs an agent.
pub(super) fn agent(mut args: Arguments) -> Result<(), CliError> {
    let file = required(&mut args, "--settings", "agent")?;
    no_more(args, "agent")?;
    let settings = AgentSettings::load(Path::new(&file)).map_err(wrong_file)?;
    start_log();
    serve(run_agent(settings).map_err(cannot_start)?)
}

fn wrong_file(error: crate::settings::SettingsError) -> CliError {
    CliError::new(CliErrorKind::File, error.to_string())
}

fn cannot_start(error: std::io::Error) -> CliError {
    let message = format!("the process can't start: {error}");
    CliError::new(CliErrorKind::Refused, message).try_this("look at the addresses in [listen]")
}

fn start_log() {
    // Only a second start fails, and then the first one's log stands.
    let _ = env_logger::Builder::new()
        .filter_level(LevelFilter::Info)
        .parse_default_env()
        .try_init();
}

fn serve(running: Running) -> Result<(), CliError> {
    stop_on_signal(running.inbox())?;
    print_ready(&running);
    running.wait();
    Ok(())
}

fn print_ready(running: &Running) {
    let addresses = running.addresses();
    let mut line = format!("ready peers={}", addresses.peers);
    if let Some(callers) = addresses.callers {
        line += &format!(" callers={callers}");
    }
    if let Some(operators) = addresses.operators {
        line += &format!(" operators={operators}");
    }
    println!("{line}");
    // Whoever started the process may have closed its end.
    let _ = std::io::stdout().flush();
}

fn stop_on_signal(inbox: Inbox) -> Result<(), CliError> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(cannot_start)?;
    std::thread::Builder::new()
        .name("signals".into())
        .spawn(move || {
            for _ in signals.forever() {
                inbox.send(HostEvent::Step(Event::Stop));
            }
        })
        .map_err(cannot_start)?;
    Ok(())
}
