//! The table of members, as it stands in the object interface and in frames.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// Which process: a name from its settings, and a number drawn when it started.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Identity {
    /// Name, unique within the fleet.
    pub name: Arc<str>,
    /// Random number drawn when the process started.
    pub incarnation: u64,
}

/// One member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Who it is.
    #[serde(flatten)]
    pub identity: Identity,
    /// Address that peers reach it at.
    pub address: SocketAddr,
}

/// The members, in the order in which they joined.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Table {
    /// Version, as the object interface counts it.
    pub version: u64,
    /// The members; one that joins is put last.
    pub members: Vec<Member>,
    /// Members that were removed and may still be current, as far as the writer knew; absent where
    /// that is not known.
    pub former: Option<Vec<Identity>>,
}

impl Table {
    /// Whether a process is listed, by name and incarnation.
    pub fn lists(&self, identity: &Identity) -> bool {
        self.position(identity).is_some()
    }

    /// A process's place in the order of joining.
    pub fn position(&self, identity: &Identity) -> Option<usize> {
        self.members.iter().position(|member| member.identity == *identity)
    }

    /// Whether another process has a member's address, so that the member is surely dead.
    pub fn reuses_address_of(&self, member: &Member) -> bool {
        let has =
            |other: &Member| other.address == member.address && other.identity != member.identity;
        self.members.iter().any(has)
    }

    /// The table with one more member; an older incarnation of the same name goes. If the new one
    /// has its address, it is dead.
    pub fn with_member(&self, member: Member) -> Table {
        let older = |other: &&Member| {
            other.identity.name == member.identity.name
                && other.identity != member.identity
                && other.address != member.address
        };
        let replaced = self.members.iter().filter(older).map(|other| other.identity.clone());
        let former = self.former.clone().map(|mut former| {
            former.retain(|identity| *identity != member.identity);
            former.extend(replaced);
            former
        });
        let mut members = self.members_without(&member.identity.name);
        members.push(member);
        Table { version: self.version, members, former }
    }

    /// The members but for one name.
    pub fn members_without(&self, name: &str) -> Vec<Member> {
        let others = |member: &&Member| &*member.identity.name != name;
        self.members.iter().filter(others).cloned().collect()
    }
}
