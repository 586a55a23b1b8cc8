//! Settings of the program, read from flags and environment variables. The object interface is the
//! platform's store.

use argh::FromArgs;
use chestnutrack_forward::listener::DrainTimes;
use chestnutrack_forward::{app, program};
use chestnutrack_process::log;
use chestnutrack_process::settings::{Findings, Reader, Setting};
use chestnutrack_process::tls;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

/// Time that the load balancer has to notice a shutdown, in milliseconds.
const DRAIN_MS_DEFAULT: u64 = 1_000;

/// Memory of the machine where no setting states it, in MiB.
const MEMORY_MB_DEFAULT: usize = 110;
/// File descriptors of the process where no setting states them.
const FILE_DESCRIPTORS_DEFAULT: usize = 4_096;

/// Time that requests have to end at the shutdown of a host that calls backend servers directly.
const DIRECT_DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// Serves callers on an entry host. Each flag can also be set by CHESTNUTRACK_<FLAG>.
#[derive(Debug, Default, FromArgs)]
pub struct Flags {
    /// name of this entry host, unique within the fleet
    #[argh(option)]
    pub name: Option<String>,
    /// service that it serves
    #[argh(option)]
    pub service: Option<String>,
    /// address for callers
    #[argh(option)]
    pub listen: Option<String>,
    /// address for other entry hosts
    #[argh(option)]
    pub peer_listen: Option<String>,
    /// address for operators
    #[argh(option)]
    pub admin: Option<String>,
    /// address of the object interface
    #[argh(option)]
    pub platform: Option<String>,
    /// failure domain of this host
    #[argh(option)]
    pub failure_domain: Option<String>,
    /// certificate of this process, PEM; with --key and --authorities
    #[argh(option)]
    pub certificate: Option<String>,
    /// private key of this process, PEM
    #[argh(option)]
    pub key: Option<String>,
    /// certificates of the trusted authorities, PEM
    #[argh(option)]
    pub authorities: Option<String>,
    /// time that the balancer is given to notice a shutdown, in milliseconds (default 1000)
    #[argh(option)]
    pub drain_ms: Option<String>,
    /// form of the log lines: text or json
    #[argh(option)]
    pub log: Option<String>,
    /// address for readiness checks; with --direct
    #[argh(option)]
    pub readiness: Option<String>,
    /// memory of the machine in MiB, from which bounds are derived; with --direct (default 110)
    #[argh(option)]
    pub memory_mb: Option<String>,
    /// file descriptors of the process, from which bounds are derived; with --direct (default 4096)
    #[argh(option)]
    pub file_descriptors: Option<String>,
    /// call backend servers directly, without side processes; requests pass unchanged
    #[argh(switch)]
    pub direct: bool,
}

/// Settings of a host that reaches backend servers through side processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of this entry host.
    pub name: Arc<str>,
    /// Service that the host serves.
    pub service: Arc<str>,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for other entry hosts.
    pub peer_listen: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Address of the object interface.
    pub platform: SocketAddr,
    /// Failure domain of this host.
    pub failure_domain: Arc<str>,
    /// TLS files for connections between processes; plain TCP if absent.
    pub tls_files: Option<tls::Files>,
    /// Time that the load balancer has to notice a shutdown.
    pub drain_period: Duration,
    /// Format of the log lines.
    pub log: log::Format,
}

const ADDRESS: &str = "an address such as 127.0.0.1:8080";
const NAME: &str = "a name";

/// Describes a setting: its flag, its environment variable and what values are allowed.
const fn setting(
    flag: &'static str,
    variable: &'static str,
    allowed: &'static str,
) -> Setting<'static> {
    Setting { flag, variable, allowed }
}

const SETTING_NAME: Setting<'_> = setting("--name", "CHESTNUTRACK_NAME", NAME);
const SETTING_SERVICE: Setting<'_> = setting("--service", "CHESTNUTRACK_SERVICE", NAME);
const SETTING_LISTEN: Setting<'_> = setting("--listen", "CHESTNUTRACK_LISTEN", ADDRESS);
const SETTING_PEER: Setting<'_> = setting("--peer-listen", "CHESTNUTRACK_PEER_LISTEN", ADDRESS);
const SETTING_ADMIN: Setting<'_> = setting("--admin", "CHESTNUTRACK_ADMIN", ADDRESS);
const SETTING_PLATFORM: Setting<'_> = setting("--platform", "CHESTNUTRACK_PLATFORM", ADDRESS);
const SETTING_DOMAIN: Setting<'_> =
    setting("--failure-domain", "CHESTNUTRACK_FAILURE_DOMAIN", NAME);
const SETTING_DRAIN: Setting<'_> =
    setting("--drain-ms", "CHESTNUTRACK_DRAIN_MS", "a number of milliseconds");
const SETTING_READINESS: Setting<'_> = setting("--readiness", "CHESTNUTRACK_READINESS", ADDRESS);
const SETTING_MEMORY: Setting<'_> =
    setting("--memory-mb", "CHESTNUTRACK_MEMORY_MB", "a number of MiB");
const SETTING_DESCRIPTORS: Setting<'_> =
    setting("--file-descriptors", "CHESTNUTRACK_FILE_DESCRIPTORS", "a number of descriptors");
const SETTING_LOG: Setting<'_> = setting("--log", "CHESTNUTRACK_LOG_FORM", "`text` or `json`");

/// Reads the settings of a host that reaches backend servers through side processes.
///
/// # Errors
///
/// Every invalid setting, with its flag or environment variable.
pub fn read(
    flags: &Flags,
    environment: impl Fn(&str) -> Option<String>,
) -> Result<Settings, Findings> {
    let mut reader = Reader::new(environment);
    let placeholder = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let identity = tls::Flags {
        certificate: flags.certificate.as_deref(),
        key: flags.key.as_deref(),
        authorities: flags.authorities.as_deref(),
    };
    let tls_files = tls::files(&mut reader, identity);
    let settings = Settings {
        name: required_text(&mut reader, SETTING_NAME, flags.name.as_deref()),
        service: required_text(&mut reader, SETTING_SERVICE, flags.service.as_deref()),
        listen: reader.required(SETTING_LISTEN, flags.listen.as_deref(), placeholder),
        peer_listen: reader.required(SETTING_PEER, flags.peer_listen.as_deref(), placeholder),
        admin: reader.required(SETTING_ADMIN, flags.admin.as_deref(), placeholder),
        platform: reader.required(SETTING_PLATFORM, flags.platform.as_deref(), placeholder),
        failure_domain: required_text(&mut reader, SETTING_DOMAIN, flags.failure_domain.as_deref()),
        tls_files,
        drain_period: Duration::from_millis(reader.with_default(
            SETTING_DRAIN,
            flags.drain_ms.as_deref(),
            DRAIN_MS_DEFAULT,
        )),
        log: reader.with_default(SETTING_LOG, flags.log.as_deref(), log::Format::default()),
    };
    reader.finish(settings)
}

/// Reads the settings of a host that calls backend servers directly.
///
/// # Errors
///
/// Every invalid setting, with its flag or environment variable.
pub fn read_direct(
    flags: &Flags,
    environment: impl Fn(&str) -> Option<String>,
    incarnation: u64,
) -> Result<program::Settings, Findings> {
    let mut reader = Reader::new(environment);
    let placeholder = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let drain_notice_ms =
        reader.with_default(SETTING_DRAIN, flags.drain_ms.as_deref(), DRAIN_MS_DEFAULT);
    let memory_mb: usize =
        reader.with_default(SETTING_MEMORY, flags.memory_mb.as_deref(), MEMORY_MB_DEFAULT);
    let file_descriptors: usize = reader.with_default(
        SETTING_DESCRIPTORS,
        flags.file_descriptors.as_deref(),
        FILE_DESCRIPTORS_DEFAULT,
    );
    let readiness = reader.optional(SETTING_READINESS, flags.readiness.as_deref());
    let mut settings = program::Settings {
        app: app::Settings {
            name: required_text(&mut reader, SETTING_NAME, flags.name.as_deref()),
            incarnation,
            failure_domain: required_text(
                &mut reader,
                SETTING_DOMAIN,
                flags.failure_domain.as_deref(),
            ),
            // Allowances don't start full: the fleet may have spent tokens before this start.
            is_fleet_first_start: false,
            ..app::Settings::default()
        },
        callers: reader.required(SETTING_LISTEN, flags.listen.as_deref(), placeholder),
        readiness,
        peers: reader.required(SETTING_PEER, flags.peer_listen.as_deref(), placeholder),
        operators: reader.required(SETTING_ADMIN, flags.admin.as_deref(), placeholder),
        store: reader.required(SETTING_PLATFORM, flags.platform.as_deref(), placeholder),
        drain: DrainTimes {
            notice: Duration::from_millis(drain_notice_ms),
            timeout: DIRECT_DRAIN_TIMEOUT,
        },
    };
    settings.app.set_resources(memory_mb.saturating_mul(1 << 20), file_descriptors);
    reader.finish(settings)
}

/// Reads a required text setting, which must not be empty.
fn required_text<F: Fn(&str) -> Option<String>>(
    reader: &mut Reader<F>,
    setting: Setting<'_>,
    flag: Option<&str>,
) -> Arc<str> {
    let value = reader.required(setting, flag, String::from("unnamed"));
    if value.is_empty() {
        reader.refuse(setting, "must not be empty");
    }
    value.into()
}
