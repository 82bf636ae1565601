//! Help texts of the program and of its commands.

/// Help of the program.
pub(super) const MAIN: &str = "\
runrail - serves large models whose replicas span several instances

Usage: runrail <COMMAND> [OPTIONS]

Commands:
  router    Run a router on an entry instance
  agent     Run an agent beside an endpoint
  check     Check settings and bundles without starting anything
  bundle    Submit, approve, roll and list bundles
  status    Show the fleet as a router sees it
  metrics   Show durations by client account and class
  explain   Show what a router did about a group, an instance or a request

Options:
  -h, --help       Show help; `runrail <COMMAND> --help` shows help for a command
  -V, --version    Show the version

Exit codes: 0 done, 1 refused or failed, 2 wrong command line or file,
            3 result unknown (check the state before retrying)

Example: runrail check --settings settings/router.ini
";

pub(super) const ROUTER: &str = "\
Run a router on an entry instance until SIGTERM shuts it down

Usage: runrail router --settings FILE

Options:
      --settings FILE    INI file; settings/router.ini is a commented sample

Once it listens, it prints `ready peers=ADDR callers=ADDR operators=ADDR`.
The log goes to standard output; RUST_LOG sets its level (default: info).

Example: runrail router --settings settings/router.ini
";

pub(super) const AGENT: &str = "\
Run an agent beside an endpoint until SIGTERM shuts it down

Usage: runrail agent --settings FILE

Options:
      --settings FILE    INI file; settings/agent.ini is a commented sample

Once it listens, it prints `ready peers=ADDR`.
On SIGTERM, its group finishes the in-flight requests before the agent exits.

Example: runrail agent --settings settings/agent.ini
";

pub(super) const CHECK: &str = "\
Check files without starting anything; lists all faults

Usage: runrail check [--settings FILE] [--role router|direct|agent] [--bundle FILE]

Options:
      --settings FILE    Settings to check
      --role ROLE        Role the settings are for; guessed from [endpoint] and [direct] when absent
      --bundle FILE      Bundle to check

Example: runrail check --settings settings/agent.ini --bundle bundle.json
";

pub(super) const BUNDLE: &str = "\
Submit, approve, roll and list bundles

Usage: runrail bundle submit FILE      [OPTIONS]
       runrail bundle approve NUMBER   [OPTIONS]
       runrail bundle roll NUMBER      [OPTIONS]
       runrail bundle status           [OPTIONS]

Options:
      --router ADDR        Operators' address of a router (or RUNRAIL_ROUTER)
      --token-file FILE    File with the operator's token (or RUNRAIL_TOKEN_FILE)

A bundle must be approved by an operator other than its author. A bundle in force
is never replaced by one with a lower number.

Example: runrail bundle submit bundle.json --router 127.0.0.1:9002 --token-file anna.token
";

pub(super) const STATUS: &str = "\
Show the fleet as a router sees it

Usage: runrail status [--json] [--router ADDR] [--token-file FILE]

Example: runrail status --router 127.0.0.1:9002 --token-file anna.token
";

pub(super) const METRICS: &str = "\
Show durations by client account and class, as a table or as bars

Usage: runrail metrics [--bars] [--json] [--router ADDR] [--token-file FILE]

Example: runrail metrics --bars --router 127.0.0.1:9002 --token-file anna.token
";

pub(super) const EXPLAIN: &str = "\
Show what a router did about a group, an instance, a bundle or a request

Usage: runrail explain SUBJECT [--json] [--router ADDR] [--token-file FILE]
       runrail explain SUBJECT --log FILE    (`-` reads standard input)

SUBJECT is a group's id (as in `runrail status`), an instance's name or a
request's id (header `Runrail-Request`).

Example: runrail explain brno1-r1/1 --router 127.0.0.1:9002 --token-file anna.token
";
