//! The table of members, as it is stored in the object interface and sent in frames.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// Identity of a process: a name from its settings, and a number drawn when it started.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Identity {
    /// Name, unique within the fleet.
    pub name: Arc<str>,
    /// Random number drawn when the process started.
    pub incarnation: u64,
}

/// A member of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name and incarnation of its process.
    #[serde(flatten)]
    pub identity: Identity,
    /// Address at which peers reach it.
    pub address: SocketAddr,
}

/// The members, in the order in which they joined.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Table {
    /// Version assigned by the object interface.
    pub version: u64,
    /// The members; one that joins is added at the end.
    pub members: Vec<Member>,
    /// Members that were removed and may still be current, as far as the writer knew; `None` if the writer
    /// did not know them.
    pub former: Option<Vec<Identity>>,
}

impl Table {
    /// Returns `true` if a process, by name and incarnation, is listed.
    pub fn lists(&self, identity: &Identity) -> bool {
        self.position(identity).is_some()
    }

    /// Returns a process's position in the order of joining.
    pub fn position(&self, identity: &Identity) -> Option<usize> {
        self.members.iter().position(|member| member.identity == *identity)
    }

    /// Returns `true` if another process has a member's address, so that the member must be dead.
    pub fn reuses_address_of(&self, member: &Member) -> bool {
        let has =
            |other: &Member| other.address == member.address && other.identity != member.identity;
        self.members.iter().any(has)
    }

    /// Returns the table with one more member, which replaces an older incarnation of the same name. The
    /// older one may still be current, unless the new one has its address, so that it must be dead.
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

    /// Returns all members except the one of this name.
    pub fn members_without(&self, name: &str) -> Vec<Member> {
        let others = |member: &&Member| &*member.identity.name != name;
        self.members.iter().filter(others).cloned().collect()
    }
}
