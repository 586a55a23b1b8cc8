use super::{BUILDS, Backend, Behaviour, Process, body};
use crate::ledger::Ledger;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

#[tokio::test]
async fn an_unframed_answer_has_neither_length_nor_chunks_and_ends_with_its_connection() {
    let (crashes, _receiver) = mpsc::unbounded_channel();
    let ledger = Arc::new(Ledger::default());
    let listen = "127.0.0.1:0".parse().unwrap();
    let process = Process { build: BUILDS[0], born: 1 };
    let backend = Backend::start("app-1", None, process, listen, ledger, crashes).await.unwrap();
    backend.set(Behaviour::Unframed);
    let mut connection = TcpStream::connect(backend.address).await.unwrap();
    let request = "GET /look/r1 HTTP/1.1\r\nhost: h\r\nx-chestnutrack-server: app-1\r\n\
                   x-chestnutrack-request: r1\r\n\r\n";

    connection.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    connection.read_to_string(&mut answer).await.unwrap();

    let (head, answered_body) = answer.split_once("\r\n\r\n").unwrap();
    assert!(head.starts_with("HTTP/1.0 200"), "{head}");
    assert!(!head.contains("content-length") && !head.contains("transfer-encoding"), "{head}");
    assert_eq!(answered_body, body("r1"));
}
