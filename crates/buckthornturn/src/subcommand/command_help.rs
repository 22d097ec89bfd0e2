//! Help texts of the program and its subcommands.

/// Help text of the program without a subcommand.
pub(super) const HELP: &str = "\
buckthornturn: global traffic steering for services with a planned shutdown

Usage:
  buckthornturn host --settings FILE [--bound NAME=VALUE]...
  buckthornturn check FILE
  buckthornturn apply FILE --host ADDR
  buckthornturn get [KIND [NAME]] --host ADDR
  buckthornturn status --host ADDR
  buckthornturn drain (target|domain|region) NAME [--by TIME] --host ADDR
  buckthornturn undrain (target|domain|region) NAME --host ADDR
  buckthornturn key grant CUSTOMER --host ADDR
  buckthornturn key withdraw KEY-ID --host ADDR
  buckthornturn log-level LEVEL --host ADDR
  buckthornturn explain REQUEST-ID FILE...
  buckthornturn --version
  buckthornturn [SUBCOMMAND] --help

ADDR is the operators' listener of any host, IP:PORT. The operator's token is read from
BUCKTHORNTURN_TOKEN. With --json an answer is one JSON object. With --ca FILE the connection uses TLS
and trusts the authority in FILE.

Exit codes: 0 done, 1 refused or failed, 2 bad usage or invalid file.
";

/// Help text of a subcommand; `None` if the subcommand is unknown.
pub(super) fn subcommand_help(name: &str) -> Option<&'static str> {
    Some(match name {
        "host" => HOST,
        "check" => CHECK,
        "apply" => APPLY,
        "get" => GET,
        "status" => STATUS,
        "drain" => DRAIN,
        "undrain" => UNDRAIN,
        "key" => KEY,
        "log-level" => LOG_LEVEL,
        "explain" => EXPLAIN,
        _ => return None,
    })
}

const HOST: &str = "\
Runs an entry host until SIGTERM or ctrl-c, then shuts it down gracefully.

Usage:
  buckthornturn host --settings FILE [--bound NAME=VALUE]...

  --bound NAME=VALUE  takes the place of a field of `bounds` in the settings file; without VALUE the file or the default applies
";

const CHECK: &str = "\
Validates a settings or configuration file and prints every problem with line, column, field and reason.

Usage:
  buckthornturn check FILE [--partial] [--json]

  --partial  the file adds to the configuration in force: references to objects outside the file are not checked
";

const APPLY: &str = "\
Applies a configuration file through any host: writes its `objects` and removes those in `remove`, as one revision.

Usage:
  buckthornturn apply FILE --host ADDR [--dry-run] [--expect REVISION] [--ca FILE] [--json]

  --dry-run          shows the differences from the configuration in force and changes nothing
  --expect REVISION  refuses if another revision is in force
";

const GET: &str = "\
Shows the configuration in force: all objects, the objects of one kind, or one object.

Usage:
  buckthornturn get [KIND [NAME]] --host ADDR [--ca FILE] [--json]

KIND is one of domain, service, target, profile, assignment, customer, link, group, block, drain, key.
";

const STATUS: &str = "\
Shows the status as the host knows it: revision, members, budgets, plans, drains and confirmation ages.

Usage:
  buckthornturn status --host ADDR [--ca FILE] [--json]
";

const DRAIN: &str = "\
Drains a target at once, or a failure domain or region within the shift caps of its services' profiles.

Usage:
  buckthornturn drain (target|domain|region) NAME [--by TIME] --host ADDR [--ca FILE] [--json]

  --by TIME  deadline, a time such as 2026-12-31T00:00:00Z or a duration such as 90min; refused if the drain would end later
";

const UNDRAIN: &str = "\
Ends a drain; traffic returns within the shift caps.

Usage:
  buckthornturn undrain (target|domain|region) NAME --host ADDR [--ca FILE] [--json]
";

const KEY: &str = "\
Grants a key to a customer, or withdraws a key. A granted key is printed once and cannot be shown again.

Usage:
  buckthornturn key grant CUSTOMER --host ADDR [--ca FILE] [--json]
  buckthornturn key withdraw KEY-ID --host ADDR [--ca FILE] [--json]
";

const LOG_LEVEL: &str = "\
Sets the least severe level that a host logs, until the host restarts.

Usage:
  buckthornturn log-level (error|warn|info|debug|trace) --host ADDR [--ca FILE] [--json]
";

const EXPLAIN: &str = "\
Explains one request from the logs of hosts on a platform: which host received it, what that host knew, which targets
it tried, and why the request ended as it did. A file may hold the lines of one host or, from a log collector, of many.

Usage:
  buckthornturn explain REQUEST-ID FILE...
";
