//! Mutual TLS between the system's own processes, loaded from PEM files.
//!
//! Each process presents a certificate for the name `chestnutrack`, signed by one of the trusted
//! certificate authorities. Several authorities may be trusted at once, so that keys can be rotated
//! without interrupting traffic.

use crate::settings::{Reader, Setting};
use chestnutrack_wire::connection::Security;
use displaydoc::Display;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Files with a process's certificate, private key and trusted authorities.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Files {
    /// Certificate chain of this process.
    pub certificate: PathBuf,
    /// Private key of this process.
    pub key: PathBuf,
    /// Certificates of the trusted certificate authorities.
    pub authorities: PathBuf,
}

const CERTIFICATE: Setting<'static> = Setting {
    flag: "--certificate",
    variable: "CHESTNUTRACK_CERTIFICATE",
    allowed: "a PEM file, with --key and --authorities",
};
const KEY: Setting<'static> = Setting {
    flag: "--key",
    variable: "CHESTNUTRACK_KEY",
    allowed: "a PEM file, with --certificate and --authorities",
};
const AUTHORITIES: Setting<'static> = Setting {
    flag: "--authorities",
    variable: "CHESTNUTRACK_AUTHORITIES",
    allowed: "a PEM file, with --certificate and --key",
};

/// Values of the flags for the TLS files.
#[derive(Clone, Copy, Debug, Default)]
pub struct Flags<'a> {
    /// `--certificate`
    pub certificate: Option<&'a str>,
    /// `--key`
    pub key: Option<&'a str>,
    /// `--authorities`
    pub authorities: Option<&'a str>,
}

/// Reads the paths of the TLS files: either all three, or none for plain TCP. If only some are
/// given, records an error with `reader` for each missing one.
pub fn files<F: Fn(&str) -> Option<String>>(
    reader: &mut Reader<F>,
    flags: Flags<'_>,
) -> Option<Files> {
    let certificate: Option<PathBuf> = reader.optional(CERTIFICATE, flags.certificate);
    let key: Option<PathBuf> = reader.optional(KEY, flags.key);
    let authorities: Option<PathBuf> = reader.optional(AUTHORITIES, flags.authorities);
    match (certificate, key, authorities) {
        (Some(certificate), Some(key), Some(authorities)) => {
            Some(Files { certificate, key, authorities })
        }
        (None, None, None) => None,
        (certificate, key, authorities) => {
            let settings = [
                (CERTIFICATE, certificate.is_none()),
                (KEY, key.is_none()),
                (AUTHORITIES, authorities.is_none()),
            ];
            for (setting, _) in settings.into_iter().filter(|(_, is_missing)| *is_missing) {
                reader.refuse(setting, "is missing beside the other two files of the identity");
            }
            None
        }
    }
}

/// Error of loading the TLS files.
#[derive(Debug, Display)]
pub enum Error {
    /// {0}: could not be read: {1}
    Read(PathBuf, std::io::Error),
    /// {0}: holds no {1}
    Empty(PathBuf, &'static str),
    /// {0}: can't be used for TLS: {1}
    Refused(PathBuf, String),
}

impl std::error::Error for Error {}

/// Loads the client and server configurations for mutual TLS.
///
/// # Errors
///
/// The file that can't be read or used, with the reason. If the TLS configurations or the verifier of peer
/// certificates can't be built, that is the certificate's file.
pub fn load(files: &Files) -> Result<Security, Error> {
    let roots = Arc::new(authorities(&files.authorities)?);
    let chain = certificates(&files.certificate)?;
    let key = private_key(&files.key)?;
    let refused = |error: &dyn std::fmt::Display| {
        Error::Refused(files.certificate.clone(), error.to_string())
    };
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let client = ClientConfig::builder_with_provider(provider.clone())
        .with_safe_default_protocol_versions()
        .map_err(|error| refused(&error))?
        .with_root_certificates(roots.clone())
        .with_client_auth_cert(chain.clone(), key.clone_key())
        .map_err(|error| refused(&error))?;
    let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider.clone())
        .build()
        .map_err(|error| refused(&error))?;
    let server = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|error| refused(&error))?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, key)
        .map_err(|error| refused(&error))?;
    Ok(Security { client: Arc::new(client), server: Arc::new(server) })
}

fn read(path: &Path) -> Result<Vec<u8>, Error> {
    std::fs::read(path).map_err(|error| Error::Read(path.to_owned(), error))
}

/// Reads the certificates in a PEM file, which must have at least one.
fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, Error> {
    let bytes = read(path)?;
    let found: Result<Vec<_>, _> = rustls_pemfile::certs(&mut bytes.as_slice()).collect();
    let found = found.map_err(|error| Error::Read(path.to_owned(), error))?;
    if found.is_empty() {
        return Err(Error::Empty(path.to_owned(), "certificate"));
    }
    Ok(found)
}

/// Reads the first private key in a PEM file.
fn private_key(path: &Path) -> Result<PrivateKeyDer<'static>, Error> {
    let bytes = read(path)?;
    let found = rustls_pemfile::private_key(&mut bytes.as_slice());
    let found = found.map_err(|error| Error::Read(path.to_owned(), error))?;
    found.ok_or_else(|| Error::Empty(path.to_owned(), "private key"))
}

/// Reads a PEM file of trusted certificate authorities.
fn authorities(path: &Path) -> Result<RootCertStore, Error> {
    let mut roots = RootCertStore::empty();
    for certificate in certificates(path)? {
        let added = roots.add(certificate);
        added.map_err(|error| Error::Refused(path.to_owned(), error.to_string()))?;
    }
    Ok(roots)
}
