//! Identity between processes: strangers are refused at both ends.

#![allow(clippy::unwrap_used)]

use chestnutrack_process::tls::{Error, Files, load};
use chestnutrack_wire::Frame;
use chestnutrack_wire::connection::{self, Security, accept, connect};
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use std::path::Path;
use tokio::net::TcpListener;

fn authority() -> (String, Issuer<'static, KeyPair>) {
    let key = KeyPair::generate().unwrap();
    let mut parameters = CertificateParams::default();
    parameters.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let pem = parameters.self_signed(&key).unwrap().pem();
    (pem, Issuer::new(parameters, key))
}

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

async fn meet(near: Option<&Security>, far: &Security) -> Result<Frame, connection::Error> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let accepting = async {
        let (tcp, peer) = listener.accept().await.unwrap();
        accept(tcp, peer, Some(far)).await?.receiver.receive().await
    };
    let connecting = async {
        let near = connect(address, near).await?;
        let _ = near.sender.send(&Frame::Ping(1));
        Ok::<_, connection::Error>(near)
    };
    let (near, far) = tokio::join!(connecting, accepting);
    near?;
    far
}

#[tokio::test]
async fn processes_of_one_authority_meet() {
    let folder = tempfile::tempdir().unwrap();
    let (pem, issuer) = authority();
    let process = identity(folder.path(), &issuer, &pem);

    assert_eq!(meet(Some(&process), &process).await, Ok(Frame::Ping(1)));
}

#[tokio::test]
async fn a_process_of_another_authority_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let (pem, issuer) = authority();
    let (other_pem, other_issuer) = authority();
    let process = identity(folder.path(), &issuer, &pem);
    let stranger = identity(folder.path(), &other_issuer, &format!("{pem}{other_pem}"));

    assert!(meet(Some(&stranger), &process).await.is_err());
}

#[tokio::test]
async fn a_stranger_without_tls_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let (pem, issuer) = authority();
    let process = identity(folder.path(), &issuer, &pem);

    assert!(meet(None, &process).await.is_err());
}

#[tokio::test]
async fn both_authorities_are_trusted_while_keys_are_rotated() {
    let folder = tempfile::tempdir().unwrap();
    let (old_pem, old_issuer) = authority();
    let (new_pem, new_issuer) = authority();
    let both = format!("{old_pem}{new_pem}");
    let old = identity(folder.path(), &old_issuer, &both);
    let new = identity(folder.path(), &new_issuer, &both);

    assert_eq!(meet(Some(&old), &new).await, Ok(Frame::Ping(1)));
    assert_eq!(meet(Some(&new), &old).await, Ok(Frame::Ping(1)));
}

#[test]
fn a_missing_file_is_named() {
    let folder = tempfile::tempdir().unwrap();

    let loaded = load(&files(folder.path()));

    let named = |path: &Path| path.ends_with("authorities.pem");
    assert!(matches!(loaded, Err(Error::Read(path, _)) if named(&path)));
}
