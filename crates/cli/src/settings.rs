//! Settings that several subcommands share, read from flags and environment variables.

use chestnutrack_process::settings::{Findings, Reader, Setting, environment};
use std::net::SocketAddr;
use std::str::FromStr;

/// Addresses of the entry hosts' admin ports.
pub const ENTRY: Setting<'_> = Setting {
    flag: "--entry",
    variable: "CHESTNUTRACK_ENTRY",
    allowed: "the address of an entry host's admin port, such as 10.0.0.7:9102; several are \
              separated by commas",
};

/// Address of the object interface.
pub const PLATFORM: Setting<'_> = Setting {
    flag: "--platform",
    variable: "CHESTNUTRACK_PLATFORM",
    allowed: "the address of the object interface, such as 10.0.0.2:8080",
};

/// Name of the service.
pub const SERVICE: Setting<'_> = Setting {
    flag: "--service",
    variable: "CHESTNUTRACK_SERVICE",
    allowed: "the name of a service",
};

/// List of addresses, parsed from text in which commas separate them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Addresses(pub Vec<SocketAddr>);

impl FromStr for Addresses {
    type Err = std::net::AddrParseError;

    fn from_str(text: &str) -> Result<Addresses, Self::Err> {
        let addresses = text.split(',').map(|part| part.trim().parse());
        addresses.collect::<Result<_, _>>().map(Addresses)
    }
}

/// Returns the admin addresses of the entry hosts to query, from the values of `--entry` or, if
/// there are none, from the environment.
///
/// # Errors
///
/// Fails if the setting is missing or malformed.
pub fn entries(flags: &[String]) -> Result<Vec<SocketAddr>, Findings> {
    let mut reader = Reader::new(environment);
    let joined = (!flags.is_empty()).then(|| flags.join(","));
    let entries = reader.required(ENTRY, joined.as_deref(), Addresses::default());
    reader.finish(entries.0)
}

/// Returns the address of the object interface and the name of the service. Settings that aren't
/// given as flags are read from the environment.
///
/// # Errors
///
/// Lists every setting that is missing or malformed.
pub fn platform_and_service(
    platform: Option<&str>,
    service: Option<&str>,
) -> Result<(SocketAddr, String), Findings> {
    let mut reader = Reader::new(environment);
    let placeholder = SocketAddr::from(([0, 0, 0, 0], 0));
    let platform = reader.required(PLATFORM, platform, placeholder);
    let service = reader.required(SERVICE, service, String::new());
    reader.finish((platform, service))
}
