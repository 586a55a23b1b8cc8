//! `crowd`: plays crowds of misbehaving callers beside ordinary ones and reports what these got.

use crate::crowd::kind::Kind;
use crate::crowd::{CONNECTIONS_MAX, Crowd, TIME_MAX, target};
use argh::FromArgs;
use chestnutrack_cli::output::{Output, UNREACHABLE, USAGE};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Play crowds of misbehaving callers beside ordinary ones, on loopback, and report what ordinary callers got and what the
/// host used.
#[derive(FromArgs)]
#[argh(subcommand, name = "crowd")]
pub(super) struct CrowdArguments {
    /// address of an entry host for callers, on loopback
    #[argh(option)]
    entry: Option<SocketAddr>,
    /// address of the entry host for readiness checks
    #[argh(option)]
    readiness: Option<SocketAddr>,
    /// process of the entry host
    #[argh(option)]
    pid: Option<u32>,
    /// program of an entry host, to be started with stand-ins instead of --entry
    #[argh(option)]
    start: Option<PathBuf>,
    /// log of the program that is started; by default entry.log
    #[argh(option, default = "PathBuf::from(\"entry.log\")")]
    log: PathBuf,
    /// memory of the machine in MiB that the started program is told; by default 88
    #[argh(option, default = "88")]
    memory_mb: usize,
    /// file descriptors that the started program is told; by default 4100
    #[argh(option, default = "4_100")]
    file_descriptors: usize,
    /// kind of misbehaving callers; may be given several times; by default all, mixed
    #[argh(option)]
    kind: Vec<Kind>,
    /// connections of the crowd; by default 400
    #[argh(option, default = "400")]
    connections: usize,
    /// seconds for which the crowd stays; by default 10
    #[argh(option, default = "10")]
    seconds: u64,
    /// ordinary callers; by default 8
    #[argh(option, default = "8")]
    ordinary: usize,
    /// host name that callers use
    #[argh(option, default = "target::HOST.to_owned()")]
    host: String,
    /// path prefix of a route to a plain service
    #[argh(option, default = "target::PATH.to_owned()")]
    path: String,
    /// key of the callers
    #[argh(option)]
    key: Option<String>,
    /// bytes of a body of legal size; by default 4194304
    #[argh(option, default = "4 << 20")]
    body_bytes: usize,
    /// print JSON instead of text
    #[argh(switch)]
    json: bool,
}

impl CrowdArguments {
    pub(super) async fn run(self) -> Result<Output, Output> {
        if self.connections > CONNECTIONS_MAX || self.seconds > TIME_MAX.as_secs() {
            let message = format!(
                "a crowd has at most {CONNECTIONS_MAX} connections and {} seconds",
                TIME_MAX.as_secs()
            );
            return Err(Output::error(USAGE, message));
        }
        if self.ordinary == 0 || self.body_bytes < 2 {
            return Err(Output::error(USAGE, "--ordinary and --body-bytes are too small"));
        }
        let started = match &self.start {
            Some(program) => {
                let resources = (self.memory_mb, self.file_descriptors);
                let target = target::start(program, &self.log, resources.0, resources.1).await;
                Some(target.map_err(|error| Output::error(UNREACHABLE, error))?)
            }
            None => None,
        };
        let (entry, readiness, pid) = match &started {
            Some(target) => (Some(target.entry), Some(target.readiness), target.process.id()),
            None => (self.entry, self.readiness, self.pid),
        };
        let Some(entry) = entry else {
            return Err(Output::error(USAGE, "--entry or --start is missing"));
        };
        if !entry.ip().is_loopback() || readiness.is_some_and(|address| !address.ip().is_loopback())
        {
            return Err(Output::error(USAGE, "crowds are played on loopback addresses only"));
        }
        let crowd = Crowd {
            entry,
            readiness,
            pid,
            kinds: if self.kind.is_empty() { Kind::ALL.to_vec() } else { self.kind },
            connections: self.connections,
            time: Duration::from_secs(self.seconds),
            ordinary: self.ordinary,
            host: self.host,
            path: self.path,
            key: self.key,
            body_bytes: self.body_bytes,
        };
        let report = crowd.play().await;
        Ok(if self.json { Output::json(&report) } else { Output::ok(report.text()) })
    }
}
