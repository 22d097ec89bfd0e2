//! The `host` subcommand, which runs an entry host.

use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use pico_args::Arguments;
use snafu::ResultExt;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio_util::task::AbortOnDropHandle;

use crate::document::BoundOverride;
use crate::document::EntryDocument;
use crate::document::SettingsDocument;
use crate::entry::EntryProcess;
use crate::entry::HostPlatform;
use crate::entry::KeepaliveDialer;
use crate::entry::SettingsWatch;
use crate::entry::log_bounds;
use crate::error::Error;
use crate::error::HostSnafu;
use crate::error::InvalidFileSnafu;
use crate::error::LogSnafu;
use crate::error::ReadFileSnafu;
use crate::error::RuntimeSnafu;
use crate::error::UsageSnafu;
use crate::host_process::HostProcess;
use crate::interface::CrashArchive;
use crate::logging::ProcessLog;
use crate::platform::StoreSource;
use crate::platform::WireDialect;
use crate::settings::EntrySettings;
use crate::settings::HostSettings;
use crate::subcommand::check_command::file_problems;
use crate::subcommand::usage_error;

/// Arguments of `host`: the path of the settings file, and bounds that take the place of those in it.
pub struct HostCommand {
    settings: PathBuf,
    bounds: Box<[BoundOverride]>,
}

impl HostCommand {
    /// Parses the arguments; the settings file is read by `run`.
    pub(super) fn parse(arguments: &mut Arguments) -> Result<Self, Error> {
        let settings = arguments.value_from_str("--settings").map_err(usage_error)?;
        let bounds = arguments.values_from_str("--bound").map_err(usage_error)?;
        Ok(Self { settings, bounds: bounds.into() })
    }

    /// Runs the host until SIGTERM or ctrl-c, then shuts it down gracefully. The settings file decides whether it is an
    /// entry host on the platform.
    pub(super) fn run(self) -> Result<(), Error> {
        let Self { settings: path, bounds } = self;
        let text = std::fs::read_to_string(&path).context(ReadFileSnafu { path: &path })?;
        if EntryDocument::is_likely_settings(&text) {
            return run_entry(&path, &text, bounds);
        }
        if !bounds.is_empty() {
            let reason = "--bound applies to hosts on the platform only";
            return UsageSnafu { reason }.fail();
        }
        let settings = match SettingsDocument::parse(&text) {
            Ok(settings) => settings,
            Err(problems) => {
                return InvalidFileSnafu { problems: file_problems(&path, &problems) }.fail();
            }
        };
        ProcessLog::start(&settings.log).context(LogSnafu)?;
        Runtime::new().context(RuntimeSnafu)?.block_on(serve_host(settings))
    }
}

/// Runs an entry host on the platform. It uses a single-threaded runtime because such a host has a fifth of a core.
fn run_entry(path: &Path, text: &str, bounds: Box<[BoundOverride]>) -> Result<(), Error> {
    let settings = EntryDocument::parse_with(text, &bounds)
        .or_else(|problems| InvalidFileSnafu { problems: file_problems(path, &problems) }.fail())?;
    ProcessLog::start(&settings.log).context(LogSnafu)?;
    let runtime = Builder::new_current_thread().enable_all().build().context(RuntimeSnafu)?;
    runtime.block_on(serve_entry(path, bounds, settings))
}

async fn serve_entry(
    path: &Path,
    bounds: Box<[BoundOverride]>,
    settings: EntrySettings,
) -> Result<(), Error> {
    let mut terminate = signal(SignalKind::terminate()).context(RuntimeSnafu)?;
    let (store, domains) = (settings.platform.store, settings.domains.clone());
    let source = Arc::new(StoreSource::new(store, domains, Arc::new(KeepaliveDialer)));
    let platform = HostPlatform {
        archive: Arc::clone(&source) as Arc<dyn CrashArchive>,
        source,
        dialect: Arc::new(WireDialect),
        dialer: Arc::new(KeepaliveDialer),
    };
    let hangup = signal(SignalKind::hangup()).context(RuntimeSnafu)?;
    let process = EntryProcess::start(settings, platform).await.context(HostSnafu)?;
    log_bounds(process.state(), &process.state().settings().default_bounds);
    let watch = SettingsWatch::new(path.into(), bounds, Arc::clone(process.state()));
    let watch_task = AbortOnDropHandle::new(tokio::spawn(watch.run(hangup)));
    tokio::select! {
        _ = tokio::signal::ctrl_c() => {}
        _ = terminate.recv() => {}
    }
    drop(watch_task);
    process.shutdown().await;
    spdlog::default_logger().flush();
    Ok(())
}

async fn serve_host(settings: HostSettings) -> Result<(), Error> {
    let shutdown_timeout = settings.shutdown_timeout();
    let mut terminate = signal(SignalKind::terminate()).context(RuntimeSnafu)?;
    let process = HostProcess::start(settings).await.context(HostSnafu)?;
    println!(
        "callers {} operators {} mesh {}",
        process.caller_address(),
        process.operator_address(),
        process.mesh_address()
    );
    tokio::select! {
        _ = tokio::signal::ctrl_c() => {}
        _ = terminate.recv() => {}
    }
    process.shutdown_gracefully(shutdown_timeout).await;
    spdlog::default_logger().flush();
    Ok(())
}
