//! Mutual TLS between processes: both ends reject a peer without a trusted certificate.

#![allow(clippy::unwrap_used)]

use chestnutrack_process::tls::{Error, Files, load};
use chestnutrack_wire::Frame;
use chestnutrack_wire::connection::{self, Security, accept, connect};
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use std::path::Path;
use tokio::net::TcpListener;

/// Creates a certificate authority; returns its certificate as PEM and the issuer.
fn authority() -> (String, Issuer<'static, KeyPair>) {
    let key = KeyPair::generate().unwrap();
    let mut parameters = CertificateParams::default();
    parameters.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let pem = parameters.self_signed(&key).unwrap().pem();
    (pem, Issuer::new(parameters, key))
}

/// Creates a certificate signed by `issuer` and loads it with the trusted `authorities`.
fn identity(folder: &Path, issuer: &Issuer<'static, KeyPair>, authorities: &str) -> Security {
    let key = KeyPair::generate().unwrap();
    let parameters = CertificateParams::new(vec!["chestnutrack".to_owned()]).unwrap();
    let certificate = parameters.signed_by(&key, issuer).unwrap();
    let files = files(folder);
    std::fs::write(&files.certificate, certificate.pem()).unwrap();
    std::fs::write(&files.key, key.serialize_pem()).unwrap();
    std::fs::write(&files.authorities, authorities).unwrap();
    load(&files).unwrap()
}

fn files(folder: &Path) -> Files {
    Files {
        certificate: folder.join("process.pem"),
        key: folder.join("process.key"),
        authorities: folder.join("authorities.pem"),
    }
}

/// Connects a client to a server and sends a frame; returns the frame that the server received.
/// Without a `client` identity the connection is plain TCP.
async fn send_ping(
    client: Option<&Security>,
    server: &Security,
) -> Result<Frame, connection::Error> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let accepting = async {
        let (tcp, peer) = listener.accept().await.unwrap();
        accept(tcp, peer, Some(server)).await?.receiver.receive().await
    };
    let connecting = async {
        let connection = connect(address, client).await?;
        let _ = connection.sender.send(&Frame::Ping(1));
        Ok::<_, connection::Error>(connection)
    };
    let (connected, received) = tokio::join!(connecting, accepting);
    connected?;
    received
}

#[tokio::test]
async fn processes_of_one_authority_can_connect() {
    let folder = tempfile::tempdir().unwrap();
    let (pem, issuer) = authority();
    let process = identity(folder.path(), &issuer, &pem);

    assert_eq!(send_ping(Some(&process), &process).await, Ok(Frame::Ping(1)));
}

#[tokio::test]
async fn a_process_of_another_authority_is_rejected() {
    let folder = tempfile::tempdir().unwrap();
    let (pem, issuer) = authority();
    let (other_pem, other_issuer) = authority();
    let process = identity(folder.path(), &issuer, &pem);
    let untrusted = identity(folder.path(), &other_issuer, &format!("{pem}{other_pem}"));

    assert!(send_ping(Some(&untrusted), &process).await.is_err());
}

#[tokio::test]
async fn a_process_without_tls_is_rejected() {
    let folder = tempfile::tempdir().unwrap();
    let (pem, issuer) = authority();
    let process = identity(folder.path(), &issuer, &pem);

    assert!(send_ping(None, &process).await.is_err());
}

#[tokio::test]
async fn processes_of_two_trusted_authorities_can_connect_during_key_rotation() {
    let folder = tempfile::tempdir().unwrap();
    let (old_pem, old_issuer) = authority();
    let (new_pem, new_issuer) = authority();
    let both = format!("{old_pem}{new_pem}");
    let old = identity(folder.path(), &old_issuer, &both);
    let new = identity(folder.path(), &new_issuer, &both);

    assert_eq!(send_ping(Some(&old), &new).await, Ok(Frame::Ping(1)));
    assert_eq!(send_ping(Some(&new), &old).await, Ok(Frame::Ping(1)));
}

#[test]
fn the_error_names_a_missing_file() {
    let folder = tempfile::tempdir().unwrap();

    let loaded = load(&files(folder.path()));

    let named = |path: &Path| path.ends_with("authorities.pem");
    assert!(matches!(loaded, Err(Error::Read(path, _)) if named(&path)));
}
