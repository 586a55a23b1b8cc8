//! The table of members, as it is stored in the object interface (the platform's store) and sent in frames.
//!
//! A member is current, and may act as a member, while its peers confirm that their tables list it. A member
//! that was removed may remain current for a short time, since it holds their earlier confirmations.

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
    /// Address at which peers reach the member.
    pub address: SocketAddr,
}

/// The members, in the order in which they joined.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Table {
    /// Version assigned by the object interface.
    pub version: u64,
    /// The members; a member that joins is added at the end.
    pub members: Vec<Member>,
    /// Members that were removed and may still be current, as known to the member that wrote the table;
    /// `None` if it did not know them, which doesn't mean that there are none.
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
        let has_its_address =
            |other: &Member| other.address == member.address && other.identity != member.identity;
        self.members.iter().any(has_its_address)
    }

    /// Returns the table with `member` added at the end. The new entry replaces that of another incarnation
    /// of the same name. The other incarnation may still be current, so it is added to `former`, unless it
    /// had the same address: then its process must be dead.
    pub fn with_member(&self, member: Member) -> Table {
        let may_be_current = |other: &&Member| {
            other.identity.name == member.identity.name
                && other.identity != member.identity
                && other.address != member.address
        };
        let replaced =
            self.members.iter().filter(may_be_current).map(|other| other.identity.clone());
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
        let has_other_name = |member: &&Member| &*member.identity.name != name;
        self.members.iter().filter(has_other_name).cloned().collect()
    }
}
