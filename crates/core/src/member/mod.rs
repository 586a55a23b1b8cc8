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
pub const SUSPECT_AFTER: Duration = Duration::from_secs(1);
/// Head start of each rank among the members that may remove a silent one.
pub const REMOVAL_STAGGER: Duration = Duration::from_millis(150);

/// Ranks that are told apart.
const RANK_MAX: u32 = 20;

/// What one member knows of another.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The member.
    pub member: Member,
    /// Until when its vouching counts; before the first answer there is none.
    pub vouched_until: Option<Instant>,
    /// When the newest ask that it answered was sent.
    pub answered_request_sent: Option<Instant>,
    /// Whether this member is current only with its vouching.
    pub required: bool,
    /// Whether it may depend on this member's vouching, so that silence is enough to remove it.
    pub dependent: bool,
    /// Whether it is surely dead.
    pub dead: bool,
    /// When it was proven dead outside the time in which it can't have removed this member.
    pub unconfirmed_death_at: Option<Instant>,
    /// When anything was last heard from it, or since when it is listed.
    pub last_heartbeat: Instant,
    /// Newest version of the table that it was seen with.
    pub seen_version: u64,
    /// Newest version of the configuration that it was seen with.
    pub configuration: u64,
}

/// A member that was removed and may still be current.
#[derive(Clone, Debug)]
struct RemovedMember {
    identity: Identity,
    version: u64,
    seen_by_all_at: Option<Instant>,
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
pub enum OfferOutcome {
    /// It is in force now.
    Adopted,
    /// It was not newer.
    Old,
}

/// What the table in the object interface needs from this member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableAction {
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
    removed: Vec<RemovedMember>,
    /// Wait of a member that joined without knowing who was removed; it has no share meanwhile.
    probation: Option<RemovedMember>,
    /// Whether it has joined and not been current since: others may not have shrunk their shares.
    newly_joined: bool,
    founder: bool,
    listed: bool,
    leaving: bool,
    join_count: u64,
}

impl Membership {
    /// The view of a member that knows no table yet.
    pub fn new(me: Identity) -> Membership {
        Membership {
            me,
            table: None,
            peers: BTreeMap::new(),
            removed: Vec::new(),
            probation: None,
            newly_joined: false,
            founder: false,
            listed: false,
            leaving: false,
            join_count: 0,
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
    pub fn join_count(&self) -> u64 {
        self.join_count
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
        self.leaving = true;
    }

    /// Whether this member is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Puts a table in force if it is newer.
    pub fn offer(&mut self, now: Instant, table: Table) -> OfferOutcome {
        if table.version <= self.version() {
            return OfferOutcome::Old;
        }
        self.track_removed(&table);
        self.replace_peers(now, &table);
        self.update_own_entry(&table);
        self.table = Some(table);
        self.advance(now);
        OfferOutcome::Adopted
    }

    /// A member that is gone counts on until its lease has surely lapsed, unless it is dead.
    fn track_removed(&mut self, table: &Table) {
        self.removed.retain(|removed| !table.lists(&removed.identity));
        let dead = |peer: &Peer| peer.dead || table.reuses_address_of(&peer.member);
        let gone = self.peers.values().filter(|peer| !dead(peer));
        let gone = gone.map(|peer| &peer.member.identity);
        let former = table.former.iter().flatten().filter(|identity| **identity != self.me);
        let absent: Vec<_> =
            gone.chain(former).filter(|identity| !table.lists(identity)).cloned().collect();
        for identity in absent {
            if !self.removed.iter().any(|removed| removed.identity == identity) {
                self.removed.push(RemovedMember {
                    identity,
                    version: table.version,
                    seen_by_all_at: None,
                });
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

    fn update_own_entry(&mut self, table: &Table) {
        let listed = table.lists(&self.me);
        if listed && !self.listed {
            self.join_count += 1;
            let founder = self.founder && table.members.len() == 1;
            let knows = founder || table.former.is_some();
            let wait = RemovedMember {
                identity: self.me.clone(),
                version: table.version,
                seen_by_all_at: None,
            };
            self.probation = (!knows).then_some(wait);
            self.newly_joined = true;
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
        let listed = self.lists(asker) && self.listed && !self.leaving;
        let Some(peer) = self.peer_mut(asker) else {
            return false;
        };
        peer.record_message(now, members, configuration);
        if listed && !peer.required {
            peer.required = true;
            peer.vouched_until = Some(now + VOUCH_LEASE);
        }
        self.advance(now);
        listed
    }

    /// Takes a peer's answer to an ask of this member.
    pub fn record_answer(&mut self, now: Instant, peer: &Identity, answer: Answer) {
        let version = self.version();
        let Some(peer) = self.peer_mut(peer) else {
            return;
        };
        peer.record_message(now, answer.members, answer.configuration);
        if !answer.listed || answer.members != version {
            return;
        }
        peer.dependent = true;
        peer.answered_request_sent = peer.answered_request_sent.max(Some(answer.sent));
        peer.vouched_until = peer.vouched_until.max(Some(answer.sent + VOUCH_LEASE));
        self.advance(now);
    }

    /// Takes the proof that an incarnation of a member is dead.
    ///
    /// It counts at once if the dead member vouched so recently that it can't have removed this
    /// one meanwhile, and otherwise once the table was read again after the proof.
    pub fn record_death_proof(&mut self, now: Instant, identity: &Identity) {
        let Some(peer) = self.peer_mut(identity) else {
            return;
        };
        if peer.dead || peer.unconfirmed_death_at.is_some() {
            return;
        }
        if peer.answered_request_sent.is_some_and(|sent| now.since(sent) < SUSPECT_AFTER) {
            peer.dead = true;
        } else {
            peer.unconfirmed_death_at = Some(now);
        }
    }

    /// Notes that the object interface showed the table in force, to a read sent at `asked`.
    pub fn record_table_read(&mut self, now: Instant, version: u64, asked: Instant) {
        if version != self.version() {
            return;
        }
        for peer in self.peers.values_mut() {
            peer.dead |= peer.unconfirmed_death_at.is_some_and(|proof| proof <= asked);
        }
        self.advance(now);
    }

    /// Whether a proof of death waits for a read of the table.
    fn needs_confirmation(&self) -> bool {
        self.peers.values().any(|peer| peer.unconfirmed_death_at.is_some() && !peer.dead)
    }

    /// Whether this member may act as a member now.
    pub fn is_current(&self, now: Instant) -> bool {
        self.current_until().is_some_and(|until| now < until)
    }

    /// Until when this member is current if nothing more is heard; `None` if it is not.
    pub fn current_until(&self) -> Option<Instant> {
        if !self.listed || self.leaving {
            return None;
        }
        let required = self.peers.values().filter(|peer| peer.required && !peer.dead);
        required
            .map(|peer| peer.vouched_until)
            .try_fold(Instant(u64::MAX), |least, until| until.map(|until| until.min(least)))
    }

    /// By how many the fleet's rates are divided on this member; `None` before it has a share.
    pub fn divisor(&mut self, now: Instant) -> Option<u32> {
        self.advance(now);
        if self.probation.is_some() || self.newly_joined || !self.listed {
            return None;
        }
        let alive = self.peers.values().filter(|peer| !peer.dead).count();
        u32::try_from(1 + alive + self.removed.len()).ok()
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
    pub fn next_action(
        &mut self,
        now: Instant,
        seen: Option<Option<&Table>>,
        address: SocketAddr,
    ) -> TableAction {
        match (self.leaving, self.listed) {
            (true, true) => self.leave_action(),
            (true, false) => TableAction::None,
            (false, false) => {
                seen.map_or(TableAction::None, |seen| self.join_action(seen, address))
            }
            (false, true) => match self.removal(now) {
                Some(table) => TableAction::Write(table),
                None if self.needs_confirmation() => TableAction::Read,
                None => TableAction::None,
            },
        }
    }

    fn leave_action(&self) -> TableAction {
        let Some(table) = &self.table else {
            return TableAction::None;
        };
        let members = table.members_without(&self.me.name);
        TableAction::Write(Table { version: table.version, members, former: self.former(&[]) })
    }

    fn join_action(&mut self, seen: Option<&Table>, address: SocketAddr) -> TableAction {
        // A table that is absent now may have been there before, unless none was ever known.
        self.founder = seen.is_none() && self.table.is_none();
        let known = self
            .table
            .as_ref()
            .filter(|known| seen.is_some_and(|seen| seen.version < known.version));
        let former = self.founder.then(Vec::new);
        let nothing = Table { version: 0, members: Vec::new(), former };
        let base = known.or(seen).unwrap_or(&nothing);
        TableAction::Write(base.with_member(Member { identity: self.me.clone(), address }))
    }

    /// Members that may still be current although they are not in the table, and more.
    fn former(&self, more: &[Identity]) -> Option<Vec<Identity>> {
        if self.probation.is_some() {
            return None;
        }
        let removed = self.removed.iter().map(|removed| &removed.identity);
        Some(removed.chain(more).cloned().collect())
    }

    /// The table without the members that this one may remove now, if there are any.
    fn removal(&self, now: Instant) -> Option<Table> {
        let table = self.table.as_ref()?;
        let own = table.position(&self.me)?;
        if self.leaving {
            return None;
        }
        let rank = u32::try_from(own).unwrap_or(u32::MAX);
        let mut timeout = SUSPECT_AFTER + REMOVAL_STAGGER * rank.min(RANK_MAX);
        if self.is_cut_off(now) {
            timeout += SUSPECT_AFTER;
        }
        let gone = |member: &Member| {
            let peer = self.peers.get(&member.identity.name);
            peer.is_some_and(|peer| peer.is_removable(now, timeout))
        };
        let (absent, members): (Vec<_>, Vec<_>) = table.members.iter().cloned().partition(gone);
        if absent.is_empty() {
            return None;
        }
        let dead = |identity: &Identity| self.peers.get(&identity.name).is_some_and(|p| p.dead);
        let absent: Vec<_> = absent.into_iter().map(|m| m.identity).filter(|i| !dead(i)).collect();
        Some(Table { version: table.version, members, former: self.former(&absent) })
    }

    /// Whether most of the table is silent, so that this member is likely to be the one cut off.
    fn is_cut_off(&self, now: Instant) -> bool {
        let silent = |peer: &&Peer| !peer.dead && now.since(peer.last_heartbeat) >= SUSPECT_AFTER;
        self.peers.values().filter(silent).count() * 2 > self.peers.len() + 1
    }

    /// Notes that this member did not run for a while: nobody was silent meanwhile.
    pub fn record_resume(&mut self, now: Instant) {
        for peer in self.peers.values_mut() {
            peer.last_heartbeat = now;
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
        let seen = |version| peers.values().all(|peer| peer.dead || peer.seen_version >= version);
        let lapsed = |removed: &mut RemovedMember| {
            if removed.seen_by_all_at.is_none() && seen(removed.version) {
                removed.seen_by_all_at = Some(now);
            }
            removed.seen_by_all_at.is_some_and(|seen_by_all_at| now >= seen_by_all_at + VOUCH_LEASE)
        };
        self.removed.retain_mut(|removed| !lapsed(removed));
        if self.probation.as_mut().is_some_and(lapsed) {
            self.probation = None;
        }
        // One that was removed without having heard of this member has not shrunk its share.
        self.newly_joined &= !(self.removed.is_empty() && self.is_current(now));
    }
}

impl Peer {
    fn new(member: Member, now: Instant, before_me: bool) -> Peer {
        Peer {
            member,
            vouched_until: None,
            answered_request_sent: None,
            required: before_me,
            dependent: !before_me,
            dead: false,
            unconfirmed_death_at: None,
            last_heartbeat: now,
            seen_version: 0,
            configuration: 0,
        }
    }

    fn record_message(&mut self, now: Instant, members: u64, configuration: u64) {
        self.last_heartbeat = now;
        self.seen_version = self.seen_version.max(members);
        self.configuration = self.configuration.max(configuration);
    }

    fn is_removable(&self, now: Instant, timeout: Duration) -> bool {
        let silent = self.dependent && now.since(self.last_heartbeat) >= timeout;
        self.dead || self.unconfirmed_death_at.is_some() || silent
    }
}
