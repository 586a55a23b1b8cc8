//! Tests of the relays.

use super::peers::{relay_store, relayed};
use chestnutrack_wire::frame::{Frame, HostReport, News};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Starts a server that answers one connection in parts.
async fn answering(parts: &'static [&'static str]) -> SocketAddr {
    let listener = TcpListener::bind(any_port()).await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut tcp, _) = listener.accept().await.expect("a connection");
        for part in parts {
            tcp.write_all(part.as_bytes()).await.expect("a written part");
            tcp.flush().await.expect("a sent part");
            tokio::task::yield_now().await;
        }
    });
    address
}

// Guards against hosts that connect to each other past the relays, so that no fault between them takes effect.
#[tokio::test]
async fn addresses_of_hosts_in_the_stores_answers_lead_to_relays_also_if_read_in_parts() {
    let parts =
        &[r#"{"version":20005,"address":"127.1.2.3:200"#, r#"05"},{"address":"127.1.2.4:20005"}"#];
    let relay = relay_store(any_port(), answering(parts).await).await.expect("a relay");

    let mut tcp = TcpStream::connect(relay).await.expect("a connection");
    let mut answer = String::new();
    tcp.read_to_string(&mut answer).await.expect("an answer");

    let expected = r#"{"version":20005,"address":"127.1.2.3:20009"},{"address":"127.1.2.4:20009"}"#;
    assert_eq!(answer, expected);
}

// Guards against the same by what hosts name each other.
#[test]
fn hosts_that_peers_name_are_reached_by_relays() {
    let report =
        HostReport { name: "entry-1".into(), incarnation: 7, address: "127.1.2.3:20005".into() };
    let news = News { hosts: vec![report], ..News::default() };

    let Frame::News(news) = relayed(Frame::News(Box::new(news))) else { panic!("another frame") };

    assert_eq!(&*news.hosts[0].address, "127.1.2.3:20009");
}
