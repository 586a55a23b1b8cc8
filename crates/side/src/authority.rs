//! Authority over the backend server: the object `sides/NAME`, claimed once at the start by a
//! conditional write, and read again after this process was stopped.

use chestnutrack_core::server::Authority;
use chestnutrack_store::client::Client;
use chestnutrack_store::error::Error;
use chestnutrack_wire::connection::{self, Security};
use chestnutrack_wire::frame::{Sender, VERSION};
use chestnutrack_wire::{Connection, Frame};
use serde::{Deserialize, Serialize};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Kind of the objects that say who is in charge.
const OBJECT_KIND: &str = "sides";
/// Time after which a call to the object interface that failed is made again.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time that the process before this one is asked to step down.
const STEP_DOWN_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two asks to step down.
const STEP_DOWN_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Who is in charge of a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Fencing number of the process's orders.
    pub epoch: u64,
    /// Random number drawn when the process started.
    pub incarnation: u64,
    /// Address for entry hosts.
    pub address: SocketAddr,
}

/// What the process needs for its claim.
#[derive(Clone)]
pub struct Claimant {
    /// The object interface.
    pub client: Client,
    /// Name of the server.
    pub name: Arc<str>,
    /// Random number drawn when this process started.
    pub incarnation: u64,
    /// Address for entry hosts.
    pub address: SocketAddr,
    /// Identity and trust between processes.
    pub security: Option<Security>,
}

impl Claimant {
    /// Claims the server, however long that takes, and has the process before step down.
    pub async fn claim(self) -> Authority {
        let mut previous = None;
        let epoch = loop {
            match self.try_claim(&mut previous).await {
                Ok(epoch) => break epoch,
                Err(error) => {
                    tracing::debug!(%error, "authority not claimed yet");
                    tokio::time::sleep(RETRY_INTERVAL).await;
                }
            }
        };
        if let Some(previous) = previous {
            self.request_step_down(&previous).await;
        }
        Authority::Held(epoch)
    }

    /// Tries once; `previous` keeps the newest claim of another process that was seen, also when
    /// an earlier try took effect and its answer was lost.
    async fn try_claim(&self, previous: &mut Option<Claim>) -> Result<u64, Error> {
        let (version, found) = match self.client.read(OBJECT_KIND, &self.name).await {
            Ok(object) => (object.version, object.value.and_then(parse_claim)),
            Err(Error::Missing) => (0, None),
            Err(error) => return Err(error),
        };
        if let Some(own) = found.as_ref().filter(|claim| claim.incarnation == self.incarnation) {
            return Ok(own.epoch);
        }
        let epoch = found.as_ref().map_or(0, |claim| claim.epoch) + 1;
        *previous = found;
        let claim = Claim { epoch, incarnation: self.incarnation, address: self.address };
        self.client.update(OBJECT_KIND, &self.name, version, &serde_json::json!(claim)).await?;
        Ok(epoch)
    }

    /// Asks the process before this one to step down. One at this process's own address is dead,
    /// or this process could not listen there; so is one whose address refuses connections. One
    /// that doesn't answer was stopped for longer than [`PAUSE_THRESHOLD`]: it reads its authority
    /// again before its next order.
    ///
    /// [`PAUSE_THRESHOLD`]: chestnutrack_core::server::settings::PAUSE_THRESHOLD
    async fn request_step_down(&self, previous: &Claim) {
        if previous.address == self.address {
            return;
        }
        let attempts = async {
            while !self.has_stepped_down(previous.address).await {
                tokio::time::sleep(STEP_DOWN_RETRY_INTERVAL).await;
            }
        };
        if timeout(STEP_DOWN_TIMEOUT, attempts).await.is_err() {
            tracing::warn!(address = %previous.address, "the process before does not answer");
        }
    }

    /// Asks once; whether the process before has stepped down or is dead.
    async fn has_stepped_down(&self, address: SocketAddr) -> bool {
        let is_refused = |error: &std::io::Error| error.kind() == ErrorKind::ConnectionRefused;
        if TcpStream::connect(address).await.is_err_and(|error| is_refused(&error)) {
            return true;
        }
        match connection::connect(address, self.security.as_ref()).await {
            Ok(connection) => announce_successor(connection, self.successor_sender()).await,
            Err(_) => false,
        }
    }

    fn successor_sender(&self) -> Sender {
        let name = chestnutrack_core::server::successor_name(&self.name);
        Sender { name, incarnation: self.incarnation }
    }

    /// Finds out whether this process is still in charge, however long that takes.
    ///
    /// What was read may be old, so that a claim that looks like this process's own is written
    /// again under its version: that takes effect only if nobody has claimed the server since.
    pub async fn recheck(self, epoch: u64) -> Authority {
        loop {
            match self.try_recheck(epoch).await {
                Ok(true) => return Authority::Held(epoch),
                Ok(false) | Err(Error::Missing) => return Authority::Lost,
                Err(error) => {
                    tracing::debug!(%error, "authority not confirmed yet");
                    tokio::time::sleep(RETRY_INTERVAL).await;
                }
            }
        }
    }

    async fn try_recheck(&self, epoch: u64) -> Result<bool, Error> {
        let object = self.client.read(OBJECT_KIND, &self.name).await?;
        let own = Claim { epoch, incarnation: self.incarnation, address: self.address };
        if object.value.and_then(parse_claim) != Some(own.clone()) {
            return Ok(false);
        }
        let value = serde_json::json!(own);
        self.client.update(OBJECT_KIND, &self.name, object.version, &value).await?;
        Ok(true)
    }
}

async fn announce_successor(mut connection: Connection, sender: Sender) -> bool {
    let hello = Frame::Hello { version: VERSION, sender, configuration: 0 };
    if connection.sender.send(&hello).is_err() {
        return false;
    }
    while let Ok(frame) = connection.receiver.receive().await {
        if frame == Frame::Leaving {
            return true;
        }
    }
    false
}

fn parse_claim(value: serde_json::Value) -> Option<Claim> {
    serde_json::from_value(value).ok()
}
