//! Relays between entry hosts, one for each pair and direction of connecting, so that hosts can be cut off from each other.
//!
//! A host publishes the address that it listens on. The relay before the store changes the port in what hosts read there, and
//! the relays between hosts change it in what hosts name themselves and each other.

use chestnutrack_harness::Link;
use chestnutrack_harness::deployment::{AddressBlock, PEER_PORT};
use chestnutrack_wire::connection::{self, Connection};
use chestnutrack_wire::frame::Frame;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Port at which hosts connect to each other. It differs from [`PEER_PORT`] in the last digit only, so that lengths stay the
/// same.
const RELAYED_PORT: u16 = 20_009;
/// Port of the relay of connections from the first host.
const FIRST_LINK_PORT: u16 = 21_000;
/// Time between attempts to reach a host that listens no more.
const LISTEN_INTERVAL: Duration = Duration::from_millis(50);
/// Buffer size of a connection to the store, in bytes.
const BUFFER_BYTES: usize = 16 << 10;

type Links = HashMap<(u8, u8), Link>;

/// Relays between all entry hosts.
pub struct PeerLinks(Arc<Links>);

impl PeerLinks {
    /// Starts the relays between a number of hosts.
    pub(super) async fn start(block: AddressBlock, hosts: u8) -> std::io::Result<PeerLinks> {
        let address = |host, port| block.address(super::FIRST_HOST_NUMBERS.2 + host, port);
        let mut links = Links::new();
        for to in 0..hosts {
            for from in (0..hosts).filter(|from| *from != to) {
                let listen = address(to, FIRST_LINK_PORT + u16::from(from));
                let link = Link::start(listen, address(to, PEER_PORT)).await?;
                links.insert((from, to), link);
            }
        }
        let links = Arc::new(links);
        for to in 0..hosts {
            let (listen, target) = (address(to, RELAYED_PORT), address(to, PEER_PORT));
            tokio::spawn(accept(listen, target, to, links.clone()));
        }
        Ok(PeerLinks(links))
    }

    /// Returns the relays of the connections that a host opens, those of the connections that others open to it, or both.
    pub fn of(&self, host: usize, are_opened: bool, are_accepted: bool) -> Vec<Link> {
        let is_chosen = |(from, to): &(u8, u8)| {
            are_opened && usize::from(*from) == host || are_accepted && usize::from(*to) == host
        };
        self.0.iter().filter(|(pair, _)| is_chosen(pair)).map(|(_, link)| link.clone()).collect()
    }
}

/// Accepts connections for a host as long as that listens itself.
async fn accept(listen: SocketAddr, target: SocketAddr, to: u8, links: Arc<Links>) {
    loop {
        while TcpStream::connect(target).await.is_err() {
            sleep(LISTEN_INTERVAL).await;
        }
        // The address is free at most a moment later.
        let Ok(listener) = TcpListener::bind(listen).await else { continue };
        while let Ok((tcp, address)) = listener.accept().await {
            if TcpStream::connect(target).await.is_err() {
                break;
            }
            tokio::spawn(relay(tcp, address, to, links.clone()));
        }
    }
}

/// Relays one connection to a host, over the link of the host that opened it. Ends with either side.
async fn relay(tcp: TcpStream, address: SocketAddr, to: u8, links: Arc<Links>) -> Option<()> {
    let mut opener = connection::accept(tcp, address, None).await.ok()?;
    let hello = opener.receiver.receive().await.ok()?;
    let Frame::Hello { sender, .. } = &hello else { return None };
    let from = sender.name.strip_prefix("entry-")?.parse().ok()?;
    let link = links.get(&(from, to))?;
    let mut target: Connection = connection::connect(link.address, None).await.ok()?;
    target.sender.send(&hello).ok()?;
    loop {
        tokio::select! {
            frame = opener.receiver.receive() => target.sender.send(&relayed(frame.ok()?)).ok()?,
            frame = target.receiver.receive() => opener.sender.send(&relayed(frame.ok()?)).ok()?,
        }
    }
}

/// Changes the ports of the hosts that a frame names.
pub(super) fn relayed(mut frame: Frame) -> Frame {
    let (listened, relayed) = (format!(":{PEER_PORT}"), format!(":{RELAYED_PORT}"));
    if let Frame::News(news) = &mut frame {
        for host in &mut news.hosts {
            host.address = host.address.replace(&listened, &relayed).into();
        }
    }
    frame
}

/// Starts a relay before the store that changes the ports of hosts in its answers, and returns its address.
pub(super) async fn relay_store(
    listen: SocketAddr,
    store: SocketAddr,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((incoming, _)) = listener.accept().await {
            tokio::spawn(relay_answers(incoming, store));
        }
    });
    Ok(address)
}

async fn relay_answers(mut incoming: TcpStream, store: SocketAddr) -> std::io::Result<()> {
    let mut outgoing = TcpStream::connect(store).await?;
    incoming.set_nodelay(true)?;
    outgoing.set_nodelay(true)?;
    let (mut requests, mut to_host) = incoming.split();
    let (mut answers, mut to_store) = outgoing.split();
    let answering = async {
        let (mut buffer, mut before) = (vec![0; BUFFER_BYTES], [0_u8; 6]);
        loop {
            let length = answers.read(&mut buffer).await?;
            if length == 0 {
                return Ok(());
            }
            for byte in &mut buffer[..length] {
                // A digit of an address comes before its port.
                let is_port = before[0].is_ascii_digit() && before[1..] == *b":2000";
                before.rotate_left(1);
                before[5] = *byte;
                if is_port && *byte == b'5' {
                    *byte = b'9';
                }
            }
            to_host.write_all(&buffer[..length]).await?;
        }
    };
    tokio::select! {
        copied = tokio::io::copy(&mut requests, &mut to_store) => copied.map(drop),
        answered = answering => answered,
    }
}
