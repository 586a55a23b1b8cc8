//! Where a subcommand reads from: flags and environment variables.

use chestnutrack_process::settings::{Findings, Reader, Setting, environment};
use std::net::SocketAddr;
use std::str::FromStr;

/// Admin ports of entry hosts.
pub const ENTRY: Setting<'_> = Setting {
    flag: "--entry",
    variable: "CHESTNUTRACK_ENTRY",
    allowed: "the address of an entry host's admin port, such as 10.0.0.7:9102; several are \
              separated by commas",
};

/// The object interface.
pub const PLATFORM: Setting<'_> = Setting {
    flag: "--platform",
    variable: "CHESTNUTRACK_PLATFORM",
    allowed: "the address of the object interface, such as 10.0.0.2:8080",
};

/// The service.
pub const SERVICE: Setting<'_> = Setting {
    flag: "--service",
    variable: "CHESTNUTRACK_SERVICE",
    allowed: "the name of a service",
};

/// Several addresses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Addresses(pub Vec<SocketAddr>);

impl FromStr for Addresses {
    type Err = std::net::AddrParseError;

    fn from_str(text: &str) -> Result<Addresses, Self::Err> {
        let addresses = text.split(',').map(|part| part.trim().parse());
        addresses.collect::<Result<_, _>>().map(Addresses)
    }
}

/// The admin ports of the entry hosts to ask.
///
/// # Errors
///
/// What is missing or malformed.
pub fn entries(given: &[String]) -> Result<Vec<SocketAddr>, Findings> {
    let mut reader = Reader::new(environment);
    let joined = (!given.is_empty()).then(|| given.join(","));
    let entries = reader.required(ENTRY, joined.as_deref(), Addresses::default());
    reader.finish(entries.0)
}

/// The object interface's address, and the service.
///
/// # Errors
///
/// What is missing or malformed, all together.
pub fn platform_and_service(
    platform: Option<&str>,
    service: Option<&str>,
) -> Result<(SocketAddr, String), Findings> {
    let mut reader = Reader::new(environment);
    let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
    let platform = reader.required(PLATFORM, platform, nowhere);
    let service = reader.required(SERVICE, service, String::new());
    reader.finish((platform, service))
}
