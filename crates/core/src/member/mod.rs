//! Membership: the table of members, vouching, leases, proof of death.
//!
//! A member counts a peer's answer only if both have the same table in force, so every member that
//! is current was, within a lease, known to each member that its table lists. Three kinds of peer
//! may remove a member, and it depends on the vouching of each of them: those that joined before
//! it, and those that it has itself vouched for. That is [`Peer::needed`].

mod table;
#[cfg(test)]
mod tests;

pub use table::{Identity, Member, Table};

use crate::time::Instant;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time between two asks of one peer.
pub const VOUCH_PERIOD: Duration = Duration::from_millis(300);
/// How long a peer's answer counts, from when the ask was sent.
pub const VOUCH_LEASE: Duration = Duration::from_secs(3);
/// Silence after which a member may be removed.
pub const SUSPECT: Duration = Duration::from_secs(1);
/// Head start of each rank among the members that may remove a silent one.
pub const REMOVE_STEP: Duration = Duration::from_millis(150);

/// Ranks that are told apart.
const RANK_MAX: u32 = 20;

/// What one member knows of another.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The member.
    pub member: Member,
    /// Until when its vouching counts; before the first answer there is none.
    pub until: Option<Instant>,
    /// When the newest ask that it answered was sent.
    pub answered: Option<Instant>,
    /// Whether this member is current only with its vouching.
    pub needed: bool,
    /// Whether it may depend on this member's vouching, so that silence is enough to remove it.
    pub depends: bool,
    /// Whether it is surely dead.
    pub dead: bool,
    /// When it was proven dead outside the time in which it can't have removed this member.
    pub unsure: Option<Instant>,
    /// When anything was last heard from it, or since when it is listed.
    pub heard: Instant,
    /// Newest version of the table that it was seen with.
    pub seen: u64,
    /// Newest version of the configuration that it was seen with.
    pub configuration: u64,
}

/// A member that was removed and may still be current.
#[derive(Clone, Debug)]
struct Held {
    identity: Identity,
    version: u64,
    ready: Option<Instant>,
}

/// A peer's answer to an ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// When the ask was sent.
    pub sent: Instant,
    /// Version of the table in force at the peer.
    pub members: u64,
    /// Whether the peer's table lists the asker.
    pub listed: bool,
    /// Version of the configuration in force at the peer.
    pub configuration: u64,
}

/// What became of a table that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It is in force now.
    Adopted,
    /// It was not newer.
    Old,
}

/// What the table in the object interface needs from this member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Duty {
    /// Nothing.
    None,
    /// Write this table over the version that it names.
    Write(Table),
    /// Read the table again.
    Read,
}

/// One member's view of the table.
#[derive(Clone, Debug)]
pub struct Membership {
    me: Identity,
    table: Option<Table>,
    peers: BTreeMap<Arc<str>, Peer>,
    held: Vec<Held>,
    /// Wait of a member that joined without knowing who was removed; it has no share meanwhile.
    probation: Option<Held>,
    /// Whether it has joined and not been current since: others may not have shrunk their shares.
    fresh: bool,
    founder: bool,
    listed: bool,
    left: bool,
    joins: u64,
}

impl Membership {
    /// The view of a member that knows no table yet.
    pub fn new(me: Identity) -> Membership {
        Membership {
            me,
            table: None,
            peers: BTreeMap::new(),
            held: Vec::new(),
            probation: None,
            fresh: false,
            founder: false,
            listed: false,
            left: false,
            joins: 0,
        }
    }

    /// This member.
    pub fn me(&self) -> &Identity {
        &self.me
    }

    /// The table in force.
    pub fn table(&self) -> Option<&Table> {
        self.table.as_ref()
    }

    /// Version of the table in force; 0 for none.
    pub fn version(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.version)
    }

    /// Whether the table in force lists this member.
    pub fn is_listed(&self) -> bool {
        self.listed
    }

    /// How often this member has come into a table; a bucket of an earlier time is void.
    pub fn joins(&self) -> u64 {
        self.joins
    }

    /// The other members of the table in force.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Whether a process is a member, by name and incarnation.
    pub fn lists(&self, identity: &Identity) -> bool {
        self.table.as_ref().is_some_and(|table| table.lists(identity))
    }

    /// Notes that this member leaves: it vouches for nobody and is not current any more.
    pub fn leave(&mut self) {
        self.left = true;
    }

    /// Whether this member is leaving.
    pub fn is_leaving(&self) -> bool {
        self.left
    }

    /// Puts a table in force if it is newer.
    pub fn offer(&mut self, now: Instant, table: Table) -> Offer {
        if table.version <= self.version() {
            return Offer::Old;
        }
        self.hold_removed(&table);
        self.replace_peers(now, &table);
        self.note_own_place(&table);
        self.table = Some(table);
        self.advance(now);
        Offer::Adopted
    }

    /// A member that is gone counts on until its lease has surely lapsed, unless it is dead.
    fn hold_removed(&mut self, table: &Table) {
        self.held.retain(|held| !table.lists(&held.identity));
        let gone = self.peers.values().filter(|peer| !peer.dead);
        let gone = gone.map(|peer| &peer.member.identity);
        let former = table.former.iter().flatten().filter(|identity| **identity != self.me);
        let away: Vec<_> =
            gone.chain(former).filter(|identity| !table.lists(identity)).cloned().collect();
        for identity in away {
            if !self.held.iter().any(|held| held.identity == identity) {
                self.held.push(Held { identity, version: table.version, ready: None });
            }
        }
    }

    fn replace_peers(&mut self, now: Instant, table: &Table) {
        let mut old = std::mem::take(&mut self.peers);
        let own = table.position(&self.me);
        for (position, member) in table.members.iter().enumerate() {
            if member.identity.name == self.me.name {
                continue;
            }
            let before_me = own.is_none_or(|own| position < own);
            let name = member.identity.name.clone();
            let known = old.remove(&name).filter(|peer| peer.member == *member);
            let kept = known.filter(|_| self.listed);
            let peer = kept.unwrap_or_else(|| Peer::new(member.clone(), now, before_me));
            self.peers.insert(name, peer);
        }
    }

    fn note_own_place(&mut self, table: &Table) {
        let listed = table.lists(&self.me);
        if listed && !self.listed {
            self.joins += 1;
            let founder = self.founder && table.members.len() == 1;
            let knows = founder || table.former.is_some();
            let wait = Held { identity: self.me.clone(), version: table.version, ready: None };
            self.probation = (!knows).then_some(wait);
            self.fresh = true;
        }
        self.founder = false;
        self.listed = listed;
    }

    /// Answers a peer's ask: whether it is listed. From then on its vouching is needed too.
    pub fn vouch(
        &mut self,
        now: Instant,
        asker: &Identity,
        members: u64,
        configuration: u64,
    ) -> bool {
        let listed = self.lists(asker) && self.listed && !self.left;
        let Some(peer) = self.peer_mut(asker) else {
            return false;
        };
        peer.hear(now, members, configuration);
        if listed && !peer.needed {
            peer.needed = true;
            peer.until = Some(now + VOUCH_LEASE);
        }
        self.advance(now);
        listed
    }

    /// Takes a peer's answer to an ask of this member.
    pub fn answered(&mut self, now: Instant, peer: &Identity, answer: Answer) {
        let version = self.version();
        let Some(peer) = self.peer_mut(peer) else {
            return;
        };
        peer.hear(now, answer.members, answer.configuration);
        if !answer.listed || answer.members != version {
            return;
        }
        peer.depends = true;
        peer.answered = peer.answered.max(Some(answer.sent));
        peer.until = peer.until.max(Some(answer.sent + VOUCH_LEASE));
        self.advance(now);
    }

    /// Takes the proof that an incarnation of a member is dead.
    ///
    /// It counts at once if the dead member vouched so recently that it can't have removed this
    /// one meanwhile, and otherwise once the table was read again after the proof.
    pub fn proven_dead(&mut self, now: Instant, identity: &Identity) {
        let Some(peer) = self.peer_mut(identity) else {
            return;
        };
        if peer.dead || peer.unsure.is_some() {
            return;
        }
        if peer.answered.is_some_and(|sent| now.since(sent) < SUSPECT) {
            peer.dead = true;
        } else {
            peer.unsure = Some(now);
        }
    }

    /// Notes that the object interface showed the table in force, to a read sent at `asked`.
    pub fn confirmed(&mut self, now: Instant, version: u64, asked: Instant) {
        if version != self.version() {
            return;
        }
        for peer in self.peers.values_mut() {
            peer.dead |= peer.unsure.is_some_and(|proof| proof <= asked);
        }
        self.advance(now);
    }

    /// Whether a proof of death waits for a read of the table.
    fn wants_confirmation(&self) -> bool {
        self.peers.values().any(|peer| peer.unsure.is_some() && !peer.dead)
    }

    /// Whether this member may act as a member now.
    pub fn is_current(&self, now: Instant) -> bool {
        self.current_until().is_some_and(|until| now < until)
    }

    /// Until when this member is current if nothing more is heard; `None` if it is not.
    pub fn current_until(&self) -> Option<Instant> {
        if !self.listed || self.left {
            return None;
        }
        let needed = self.peers.values().filter(|peer| peer.needed && !peer.dead);
        needed
            .map(|peer| peer.until)
            .try_fold(Instant(u64::MAX), |least, until| until.map(|until| until.min(least)))
    }

    /// By how many the fleet's rates are divided on this member; `None` before it has a share.
    pub fn divisor(&mut self, now: Instant) -> Option<u32> {
        self.advance(now);
        if self.probation.is_some() || self.fresh || !self.listed {
            return None;
        }
        let alive = self.peers.values().filter(|peer| !peer.dead).count();
        u32::try_from(1 + alive + self.held.len()).ok()
    }

    /// Whether every live member was seen with at least this version of the configuration.
    pub fn all_configured(&self, version: u64) -> bool {
        self.peers.values().all(|peer| peer.dead || peer.configuration >= version)
    }

    /// Whether a member was seen with a newer configuration.
    pub fn knows_newer_configuration(&self, version: u64) -> bool {
        self.peers.values().any(|peer| !peer.dead && peer.configuration > version)
    }

    /// What the table needs from this member, which would be reached at `address`.
    ///
    /// `seen` is what the object interface last showed: `Some(None)` where there was no table.
    pub fn duty(
        &mut self,
        now: Instant,
        seen: Option<Option<&Table>>,
        address: SocketAddr,
    ) -> Duty {
        match (self.left, self.listed) {
            (true, true) => self.departure(),
            (true, false) => Duty::None,
            (false, false) => seen.map_or(Duty::None, |seen| self.entry(seen, address)),
            (false, true) => match self.removal(now) {
                Some(table) => Duty::Write(table),
                None if self.wants_confirmation() => Duty::Read,
                None => Duty::None,
            },
        }
    }

    fn departure(&self) -> Duty {
        let Some(table) = &self.table else {
            return Duty::None;
        };
        let members = table.without(&self.me.name);
        Duty::Write(Table { version: table.version, members, former: self.former(&[]) })
    }

    fn entry(&mut self, seen: Option<&Table>, address: SocketAddr) -> Duty {
        // A table that is absent now may have been there before, unless none was ever known.
        self.founder = seen.is_none() && self.table.is_none();
        let known = self
            .table
            .as_ref()
            .filter(|known| seen.is_some_and(|seen| seen.version < known.version));
        let former = self.founder.then(Vec::new);
        let nothing = Table { version: 0, members: Vec::new(), former };
        let base = known.or(seen).unwrap_or(&nothing);
        Duty::Write(base.with(Member { identity: self.me.clone(), address }))
    }

    /// Members that may still be current although they are not in the table, and more.
    fn former(&self, more: &[Identity]) -> Option<Vec<Identity>> {
        if self.probation.is_some() {
            return None;
        }
        let held = self.held.iter().map(|held| &held.identity);
        Some(held.chain(more).cloned().collect())
    }

    /// The table without the members that this one may remove now, if there are any.
    fn removal(&self, now: Instant) -> Option<Table> {
        let table = self.table.as_ref()?;
        let own = table.position(&self.me)?;
        if self.left {
            return None;
        }
        let rank = u32::try_from(own).unwrap_or(u32::MAX);
        let mut patience = SUSPECT + REMOVE_STEP * rank.min(RANK_MAX);
        if self.is_cut_off(now) {
            patience += SUSPECT;
        }
        let gone = |member: &Member| {
            let peer = self.peers.get(&member.identity.name);
            peer.is_some_and(|peer| peer.is_gone(now, patience))
        };
        let (away, members): (Vec<_>, Vec<_>) = table.members.iter().cloned().partition(gone);
        if away.is_empty() {
            return None;
        }
        let dead = |identity: &Identity| self.peers.get(&identity.name).is_some_and(|p| p.dead);
        let away: Vec<_> = away.into_iter().map(|m| m.identity).filter(|i| !dead(i)).collect();
        Some(Table { version: table.version, members, former: self.former(&away) })
    }

    /// Whether most of the table is silent, so that this member is likely to be the one cut off.
    fn is_cut_off(&self, now: Instant) -> bool {
        let silent = |peer: &&Peer| !peer.dead && now.since(peer.heard) >= SUSPECT;
        self.peers.values().filter(silent).count() * 2 > self.peers.len() + 1
    }

    /// Notes that this member did not run for a while: nobody was silent meanwhile.
    pub fn woken(&mut self, now: Instant) {
        for peer in self.peers.values_mut() {
            peer.heard = now;
        }
    }

    fn peer_mut(&mut self, identity: &Identity) -> Option<&mut Peer> {
        let peer = self.peers.get_mut(&identity.name)?;
        (peer.member.identity == *identity).then_some(peer)
    }

    /// Ends holds on removed members whose leases have surely lapsed, and what the own share waits
    /// for.
    fn advance(&mut self, now: Instant) {
        let peers = &self.peers;
        let seen = |version| peers.values().all(|peer| peer.dead || peer.seen >= version);
        let lapsed = |held: &mut Held| {
            if held.ready.is_none() && seen(held.version) {
                held.ready = Some(now);
            }
            held.ready.is_some_and(|ready| now >= ready + VOUCH_LEASE)
        };
        self.held.retain_mut(|held| !lapsed(held));
        if self.probation.as_mut().is_some_and(lapsed) {
            self.probation = None;
        }
        // One that was removed without having heard of this member has not shrunk its share.
        self.fresh &= !(self.held.is_empty() && self.is_current(now));
    }
}

impl Peer {
    fn new(member: Member, now: Instant, before_me: bool) -> Peer {
        Peer {
            member,
            until: None,
            answered: None,
            needed: before_me,
            depends: !before_me,
            dead: false,
            unsure: None,
            heard: now,
            seen: 0,
            configuration: 0,
        }
    }

    fn hear(&mut self, now: Instant, members: u64, configuration: u64) {
        self.heard = now;
        self.seen = self.seen.max(members);
        self.configuration = self.configuration.max(configuration);
    }

    fn is_gone(&self, now: Instant, patience: Duration) -> bool {
        let silent = self.depends && now.since(self.heard) >= patience;
        self.dead || self.unsure.is_some() || silent
    }
}
