use std::io::Write;
use std::path::PathBuf;
use std::time::Duration;

use log::LevelFilter;
use pico_args::Arguments;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use super::command::{no_more, required};
use super::{CliError, CliErrorKind};
use crate::host::{run_agent, run_router, HostEvent, Inbox, ProcessHandle};
use crate::link::run_direct;
use crate::logic::Event;
use crate::observe::{LogEnd, LogWriter};
use crate::platform;
use crate::settings::{AgentSettings, DirectSettings, RouterSettings};

/// Runs a router.
pub(super) fn router(mut args: Arguments) -> Result<(), CliError> {
    let file = required(&mut args, "--settings", "router")?;
    no_more(args, "router")?;
    let file = settings_file(&file)?;
    if DirectSettings::is_meant(&file) {
        let settings = DirectSettings::load(&file).map_err(wrong_file)?;
        let log = start_log()?;
        let ended = run_direct(&settings, platform::adapter());
        log.wait(LAST_LINES);
        return ended.map_err(cannot_start);
    }
    let settings = RouterSettings::load(&file).map_err(wrong_file)?;
    let log = start_log()?;
    serve(run_router(settings).map_err(cannot_start)?, &log)
}

/// Runs an agent.
pub(super) fn agent(mut args: Arguments) -> Result<(), CliError> {
    let file = required(&mut args, "--settings", "agent")?;
    no_more(args, "agent")?;
    let settings = AgentSettings::load(&settings_file(&file)?).map_err(wrong_file)?;
    let log = start_log()?;
    serve(run_agent(settings).map_err(cannot_start)?, &log)
}

/// The file that is meant: `env:NAME` means the one that a variable names.
fn settings_file(file: &str) -> Result<PathBuf, CliError> {
    let Some(name) = file.strip_prefix("env:") else {
        return Ok(PathBuf::from(file));
    };
    std::env::var_os(name).map(PathBuf::from).ok_or_else(|| {
        let message = format!("the variable {name} is not set, which {file} names");
        CliError::new(CliErrorKind::File, message)
    })
}

fn wrong_file(error: crate::settings::SettingsError) -> CliError {
    CliError::new(CliErrorKind::File, error.to_string())
}

fn cannot_start(error: std::io::Error) -> CliError {
    let message = format!("the process can't start: {error}");
    CliError::new(CliErrorKind::Refused, message).try_this("look at the addresses in [listen]")
}

/// Longest time for the last lines of the log.
const LAST_LINES: Duration = Duration::from_millis(300);

/// Starts the log on standard output, a line an event, its level first.
fn start_log() -> Result<LogEnd, CliError> {
    let (writer, end) = LogWriter::start(std::io::stdout()).map_err(cannot_start)?;
    // Only a second start fails, and then the first one's log stands.
    let _ = env_logger::Builder::new()
        .filter_level(LevelFilter::Info)
        .parse_default_env()
        .format(|out, record| {
            let (level, time) = (record.level(), out.timestamp_millis());
            writeln!(out, "{level} {time} {} {}", record.target(), record.args())
        })
        .target(env_logger::Target::Pipe(Box::new(writer)))
        .try_init();
    Ok(end)
}

fn serve(running: ProcessHandle, log: &LogEnd) -> Result<(), CliError> {
    stop_on_signal(running.inbox())?;
    print_ready(&running);
    running.wait();
    log.wait(LAST_LINES);
    Ok(())
}

fn print_ready(running: &ProcessHandle) {
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
