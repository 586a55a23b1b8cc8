//! Generates a certificate authority and a certificate for the processes of a fleet.

use crate::error::Error;
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use std::path::Path;

/// DNS name in the certificate that all processes share.
const PROCESS_NAME: &str = "chestnutrack";

/// Generates a certificate authority and a certificate signed by it, and writes `authority.pem`,
/// `process.pem` and `process.key` into a folder.
///
/// # Errors
///
/// Returns [`Error::Other`] if a key or certificate cannot be generated or a file cannot be written.
pub fn write(folder: &Path) -> Result<(), Error> {
    let to_error = |error: &dyn std::fmt::Display| Error::Other(error.to_string());
    let authority_key = KeyPair::generate().map_err(|error| to_error(&error))?;
    let mut authority = CertificateParams::default();
    authority.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let root = authority.self_signed(&authority_key).map_err(|error| to_error(&error))?;
    let issuer = Issuer::new(authority, authority_key);
    let key = KeyPair::generate().map_err(|error| to_error(&error))?;
    let parameters = CertificateParams::new(vec![PROCESS_NAME.to_owned()]);
    let parameters = parameters.map_err(|error| to_error(&error))?;
    let certificate = parameters.signed_by(&key, &issuer).map_err(|error| to_error(&error))?;
    let files = [
        ("authority.pem", root.pem()),
        ("process.pem", certificate.pem()),
        ("process.key", key.serialize_pem()),
    ];
    for (name, text) in files {
        std::fs::write(folder.join(name), text).map_err(|error| to_error(&error))?;
    }
    Ok(())
}
