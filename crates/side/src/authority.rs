//! Authority over the backend server. It is recorded in the object `sides/NAME`, which a process
//! claims by a conditional write when it starts. The process checks its claim again when its
//! authority is in doubt, such as after a pause.

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

/// Kind of the objects that record which process has authority.
const OBJECT_KIND: &str = "sides";
/// Delay before a failed call to the object interface is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum time for which the previous process is asked to step down.
const STEP_DOWN_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay between two requests to step down.
const STEP_DOWN_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Claim of a side process to its backend server, stored as the value of the object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Fencing number of the process's orders; each new claim increments it.
    pub epoch: u64,
    /// Random number drawn when the process started.
    pub incarnation: u64,
    /// Address on which the process listens for entry hosts.
    pub address: SocketAddr,
}

/// Claims the backend server for this process, and checks the claim.
#[derive(Clone)]
pub struct Claimant {
    /// Client of the object interface.
    pub client: Client,
    /// Name of the backend server.
    pub name: Arc<str>,
    /// Random number drawn when this process started.
    pub incarnation: u64,
    /// Address on which the process listens for entry hosts.
    pub address: SocketAddr,
    /// TLS identity and trusted authorities; `None` for plain TCP.
    pub security: Option<Security>,
}

impl Claimant {
    /// Claims the server, retrying until the claim succeeds, and then asks the previous process to
    /// step down.
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

    /// Tries once to claim the server, and returns the epoch. `previous` is set to the newest
    /// claim of another process that was read. It keeps that claim if the write takes effect but
    /// its response is lost; the next try then finds this process's own claim.
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
        self.client
            .replace_confirmed(OBJECT_KIND, &self.name, version, &serde_json::json!(claim))
            .await?;
        Ok(epoch)
    }

    /// Asks the previous process to step down, until it has done so or [`STEP_DOWN_TIMEOUT`] has
    /// passed. A previous process that has this process's own address is dead, because otherwise
    /// this process could not listen on it. So is one whose address refuses connections. One that
    /// doesn't answer was paused for longer than [`PAUSE_THRESHOLD`], so it checks its authority
    /// before its next order, unless the engine checks fencing numbers itself.
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
            tracing::warn!(
                address = %previous.address,
                "previous process did not confirm step-down"
            );
        }
    }

    /// Asks the previous process once to step down. Returns `true` if it has stepped down or is
    /// dead.
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

    /// Returns the sender under which this process introduces itself to the previous one.
    fn successor_sender(&self) -> Sender {
        let name = chestnutrack_core::server::successor_name(&self.name);
        Sender { name, incarnation: self.incarnation }
    }

    /// Checks whether this process still has authority under `epoch`, retrying until the object
    /// interface answers.
    ///
    /// The read may be stale. If it returns this process's own claim, the claim is therefore
    /// written again, conditional on the version read. The write takes effect only if no other
    /// process has claimed the server since.
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

    /// Checks the claim once. Returns `false` if it is no longer this process's own.
    async fn try_recheck(&self, epoch: u64) -> Result<bool, Error> {
        let object = self.client.read(OBJECT_KIND, &self.name).await?;
        let own = Claim { epoch, incarnation: self.incarnation, address: self.address };
        if object.value.and_then(parse_claim) != Some(own.clone()) {
            return Ok(false);
        }
        let value = serde_json::json!(own);
        self.client.replace_confirmed(OBJECT_KIND, &self.name, object.version, &value).await?;
        Ok(true)
    }
}

/// Introduces this process as the successor, and returns `true` once the previous process replies
/// that it is leaving, or `false` if the connection breaks first.
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
