use std::io::Write;
use std::path::PathBuf;
use std::time::Duration;

use log::LevelFilter;
use pico_args::Arguments;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use super::command::{reject_rest, required_value};
use super::{CliError, CliErrorKind};
use crate::host::{run_agent, run_router, HostEvent, Inbox, ProcessHandle};
use crate::link::run_direct;
use crate::logic::Event;
use crate::observe::{LogEnd, LogWriter};
use crate::platform;
use crate::settings::{AgentSettings, DirectSettings, RouterSettings};

/// Runs `router`: a router, until the process is shut down.
pub(super) fn router(mut args: Arguments) -> Result<(), CliError> {
    let file = required_value(&mut args, "--settings", "router")?;
    reject_rest(args, "router")?;
    let file = settings_file(&file)?;
    if DirectSettings::is_meant(&file) {
        let settings = DirectSettings::load(&file).map_err(file_error)?;
        let log = start_log()?;
        let ended = run_direct(&settings, platform::adapter());
        log.wait(LOG_FLUSH_TIMEOUT);
        return ended.map_err(start_error);
    }
    let settings = RouterSettings::load(&file).map_err(file_error)?;
    let log = start_log()?;
    serve(run_router(settings).map_err(start_error)?, &log)
}

/// Runs `agent`: an agent, until the process is shut down.
pub(super) fn agent(mut args: Arguments) -> Result<(), CliError> {
    let file = required_value(&mut args, "--settings", "agent")?;
    reject_rest(args, "agent")?;
    let settings = AgentSettings::load(&settings_file(&file)?).map_err(file_error)?;
    let log = start_log()?;
    serve(run_agent(settings).map_err(start_error)?, &log)
}

/// Path of the settings file; `env:NAME` reads it from the environment variable NAME.
fn settings_file(file: &str) -> Result<PathBuf, CliError> {
    let Some(name) = file.strip_prefix("env:") else {
        return Ok(PathBuf::from(file));
    };
    std::env::var_os(name).map(PathBuf::from).ok_or_else(|| {
        let message = format!("{file}: the environment variable {name} is not set");
        CliError::new(CliErrorKind::File, message)
    })
}

fn file_error(error: crate::settings::SettingsError) -> CliError {
    CliError::new(CliErrorKind::File, error.to_string())
}

fn start_error(error: std::io::Error) -> CliError {
    let message = format!("the process can't start: {error}");
    CliError::new(CliErrorKind::Refused, message).with_hint("check the addresses in [listen]")
}

/// Maximum wait at exit until the last lines of the log are written.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Starts the log on standard output: one line for each event, its level first.
fn start_log() -> Result<LogEnd, CliError> {
    let (writer, end) = LogWriter::start(std::io::stdout()).map_err(start_error)?;
    // This fails only if a logger is installed already, which then stays in use.
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
    log.wait(LOG_FLUSH_TIMEOUT);
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
    // The reader of standard output may have closed it.
    let _ = std::io::stdout().flush();
}

fn stop_on_signal(inbox: Inbox) -> Result<(), CliError> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(start_error)?;
    std::thread::Builder::new()
        .name("signals".into())
        .spawn(move || {
            for _ in signals.forever() {
                inbox.send(HostEvent::Step(Event::Stop));
            }
        })
        .map_err(start_error)?;
    Ok(())
}
