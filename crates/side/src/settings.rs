//! Settings of the process, read from flags and environment variables.

use argh::FromArgs;
use chestnutrack_process::log::Format;
use chestnutrack_process::settings::{Findings, Reader, Setting};
use chestnutrack_process::tls::{self, Files};
use std::net::{Ipv4Addr, SocketAddr};
use std::str::FromStr;
use std::sync::Arc;

/// Kind of the backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Kind {
    /// A model engine.
    #[default]
    Engine,
    /// A plain service.
    Plain,
}

/// The text does not name a kind of backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownKind;

impl FromStr for Kind {
    type Err = UnknownKind;

    fn from_str(text: &str) -> Result<Kind, UnknownKind> {
        match text {
            "engine" => Ok(Kind::Engine),
            "plain" => Ok(Kind::Plain),
            _ => Err(UnknownKind),
        }
    }
}

/// Side process of one backend server: manages its slots, KV cache, transfers and orders.
///
/// Each flag may also come from an environment variable: CHESTNUTRACK_ and the flag's name in
/// upper case.
#[derive(Clone, Debug, Default, FromArgs)]
pub struct Flags {
    /// name of the backend server in the document
    #[argh(option)]
    pub name: Option<String>,
    /// service that the backend server belongs to
    #[argh(option)]
    pub service: Option<String>,
    /// address to listen on for entry hosts
    #[argh(option)]
    pub listen: Option<String>,
    /// address to listen on for operators
    #[argh(option)]
    pub admin: Option<String>,
    /// address of the object interface
    #[argh(option)]
    pub platform: Option<String>,
    /// kind of the backend server: engine or plain
    #[argh(option)]
    pub kind: Option<String>,
    /// address of the backend server
    #[argh(option)]
    pub backend: Option<String>,
    /// certificate chain of this process, as a PEM file
    #[argh(option)]
    pub certificate: Option<String>,
    /// private key of this process, as a PEM file
    #[argh(option)]
    pub key: Option<String>,
    /// certificates of the trusted authorities, as a PEM file
    #[argh(option)]
    pub authorities: Option<String>,
    /// format of the log lines: text or json
    #[argh(option)]
    pub log: Option<String>,
}

/// Settings of the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the backend server in the document.
    pub name: Arc<str>,
    /// Service that the backend server belongs to.
    pub service: Arc<str>,
    /// Address to listen on for entry hosts.
    pub listen: SocketAddr,
    /// Address to listen on for operators.
    pub admin: SocketAddr,
    /// Address of the object interface.
    pub platform: SocketAddr,
    /// Kind of the backend server.
    pub kind: Kind,
    /// Address of the backend server.
    pub backend: SocketAddr,
    /// Files of the TLS identity and trusted authorities; `None` for plain TCP.
    pub identity: Option<Files>,
    /// Format of the log lines.
    pub log: Format,
}

/// Loopback address with port 0: a listener gets any free port, and a client can't connect to it.
pub const LOOPBACK_ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            name: "server".into(),
            service: "service".into(),
            listen: LOOPBACK_ANY_PORT,
            admin: LOOPBACK_ANY_PORT,
            platform: LOOPBACK_ANY_PORT,
            kind: Kind::Engine,
            backend: LOOPBACK_ANY_PORT,
            identity: None,
            log: Format::Text,
        }
    }
}

const ADDRESS: &str = "an IP address with a port";

const fn setting(
    flag: &'static str,
    variable: &'static str,
    allowed: &'static str,
) -> Setting<'static> {
    Setting { flag, variable, allowed }
}

const NAME: Setting<'static> =
    setting("--name", "CHESTNUTRACK_NAME", "the server's name in the document");
const SERVICE: Setting<'static> =
    setting("--service", "CHESTNUTRACK_SERVICE", "the service's name");
const LISTEN: Setting<'static> = setting("--listen", "CHESTNUTRACK_LISTEN", ADDRESS);
const ADMIN: Setting<'static> = setting("--admin", "CHESTNUTRACK_ADMIN", ADDRESS);
const PLATFORM: Setting<'static> = setting("--platform", "CHESTNUTRACK_PLATFORM", ADDRESS);
const KIND: Setting<'static> = setting("--kind", "CHESTNUTRACK_KIND", "`engine` or `plain`");
const BACKEND: Setting<'static> = setting("--backend", "CHESTNUTRACK_BACKEND", ADDRESS);
const LOG: Setting<'static> = setting("--log", "CHESTNUTRACK_LOG_FORM", "`text` or `json`");

/// Reads the settings from the flags, or from `environment` where a flag is missing.
///
/// # Errors
///
/// Returns a finding for each invalid or missing setting.
pub fn read(
    flags: &Flags,
    environment: impl Fn(&str) -> Option<String>,
) -> Result<Settings, Findings> {
    let mut reader = Reader::new(environment);
    let name: String = reader.required(NAME, flags.name.as_deref(), String::new());
    let service: String = reader.required(SERVICE, flags.service.as_deref(), String::new());
    let identity = tls::Flags {
        certificate: flags.certificate.as_deref(),
        key: flags.key.as_deref(),
        authorities: flags.authorities.as_deref(),
    };
    let identity = tls::files(&mut reader, identity);
    let settings = Settings {
        name: name.into(),
        service: service.into(),
        listen: reader.required(LISTEN, flags.listen.as_deref(), LOOPBACK_ANY_PORT),
        admin: reader.required(ADMIN, flags.admin.as_deref(), LOOPBACK_ANY_PORT),
        platform: reader.required(PLATFORM, flags.platform.as_deref(), LOOPBACK_ANY_PORT),
        kind: reader.required(KIND, flags.kind.as_deref(), Kind::Engine),
        backend: reader.required(BACKEND, flags.backend.as_deref(), LOOPBACK_ANY_PORT),
        identity,
        log: reader.with_default(LOG, flags.log.as_deref(), Format::Text),
    };
    reader.finish(settings)
}
