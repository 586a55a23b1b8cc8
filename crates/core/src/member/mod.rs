//! Membership: the table of members, vouching, leases and proofs of death.
//!
//! The table of members is stored in the object interface (the platform's store) and sent between members.
//! Members ask each other periodically to vouch for them: to confirm that their tables list the asking
//! member. A positive answer is a lease. A member is current, and may act as a member, while it holds an
//! unexpired lease from every peer that it depends on. Only a current member has a share of the fleet's
//! rates to spend.
//!
//! An answer counts only if both members have the same version of the table in force. So every current
//! member was, within a lease, known to each member that its table lists. A live member may be removed by
//! the peers that joined before it and by the peers that it has itself vouched for, so it depends on the
//! vouching of each of them; see [`Peer::vouch_required`].

mod table;
#[cfg(test)]
mod tests;

pub use table::{Identity, Member, Table};

use crate::time::Instant;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Period of the vouch requests to each peer.
pub const VOUCH_PERIOD: Duration = Duration::from_millis(300);
/// Lease that a peer's answer gives, counted from when the request was sent.
pub const VOUCH_LEASE: Duration = Duration::from_secs(3);
/// Time without a message from a member after which its peers may remove it.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(1);
/// Additional delay for each rank among the members that may remove an unreachable one.
pub const REMOVAL_STAGGER: Duration = Duration::from_millis(150);

/// Highest rank whose [`REMOVAL_STAGGER`] is added to the delay; higher ranks have the same delay.
const RANK_MAX: u32 = 20;

/// One member's knowledge of another member, its peer.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The member.
    pub member: Member,
    /// When the peer's vouching for this member expires; `None` before its first answer. If this member
    /// vouches for the peer, and so depends on it from then on, it counts a first lease without an answer:
    /// otherwise it would stop being current until the answer.
    pub vouched_until: Option<Instant>,
    /// When the newest vouch request was sent that the peer answered by vouching for this member.
    pub answered_request_sent: Option<Instant>,
    /// Whether this member is current only while the peer vouches for it.
    pub vouch_required: bool,
    /// Whether the peer may need this member to vouch for it, so that this member can remove it once it is
    /// unreachable.
    pub dependent: bool,
    /// Whether the peer's process is known to be dead.
    pub dead: bool,
    /// When the peer was proven dead, if it may have removed this member before it died. The proof counts
    /// only after a read of the table.
    pub unconfirmed_death_at: Option<Instant>,
    /// When the peer's last message arrived, or when this member first saw it listed.
    pub last_heartbeat: Instant,
    /// Newest version of the table that the peer is known to have.
    pub table_version: u64,
    /// Newest version of the configuration that the peer is known to have.
    pub configuration_version: u64,
}

/// A member that was removed from the table and may still be current.
#[derive(Clone, Debug)]
struct RemovedMember {
    identity: Identity,
    /// Version of the first table that doesn't list the member.
    version: u64,
    /// When every live peer was known to have that version. From then on none vouches for the member, so its
    /// leases have expired [`VOUCH_LEASE`] later.
    seen_by_all_at: Option<Instant>,
}

/// A peer's answer to a vouch request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// When the request was sent.
    pub sent: Instant,
    /// Version of the table in force at the peer.
    pub table_version: u64,
    /// Whether the peer vouches for the sender of the request, which its table must list.
    pub listed: bool,
    /// Version of the configuration in force at the peer.
    pub configuration_version: u64,
}

/// Result of [`Membership::adopt_if_newer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdoptOutcome {
    /// The table is now in force.
    Adopted,
    /// The table was older than the one in force, or had the same version.
    NotNewer,
}

/// What this member must do with the table in the object interface.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableAction {
    /// Nothing.
    None,
    /// Write this table, replacing the version that it names.
    Write(Table),
    /// Read the table again.
    Read,
}

/// One member's view of the membership.
#[derive(Clone, Debug)]
pub struct Membership {
    me: Identity,
    table: Option<Table>,
    peers: BTreeMap<Arc<str>, Peer>,
    removed: Vec<RemovedMember>,
    /// Set while this member has no share because it joined without knowing which members were removed and
    /// may still be current. Names this member, and the version of the table by which it joined: the
    /// condition ends when the leases of members removed by then have expired.
    probation: Option<RemovedMember>,
    /// Whether this member has joined and not been current since. Until then, others may not have reduced
    /// their shares.
    newly_joined: bool,
    /// Whether this member is about to write the first table, so that no member can have been removed.
    founder: bool,
    /// Whether the table in force lists this member.
    listed: bool,
    /// Whether this member is leaving the fleet.
    leaving: bool,
    /// How many times this member has joined a table.
    join_count: u64,
}

impl Membership {
    /// Creates the view of a member that knows no table yet.
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

    /// Returns the identity of this member.
    pub fn me(&self) -> &Identity {
        &self.me
    }

    /// Returns the table in force.
    pub fn table(&self) -> Option<&Table> {
        self.table.as_ref()
    }

    /// Returns the version of the table in force, or 0 if there is none.
    pub fn version(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.version)
    }

    /// Returns `true` if the table in force lists this member.
    pub fn is_listed(&self) -> bool {
        self.listed
    }

    /// Returns how many times this member has joined a table. Tokens from before the last join can't be
    /// spent.
    pub fn join_count(&self) -> u64 {
        self.join_count
    }

    /// Returns the other members of the table in force.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Returns `true` if a process, by name and incarnation, is a member.
    pub fn lists(&self, identity: &Identity) -> bool {
        self.table.as_ref().is_some_and(|table| table.lists(identity))
    }

    /// Begins to leave: from now on this member vouches for no peer and is not current.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Returns `true` if this member is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Replaces the table in force if `table` has a higher version.
    pub fn adopt_if_newer(&mut self, now: Instant, table: Table) -> AdoptOutcome {
        if table.version <= self.version() {
            return AdoptOutcome::NotNewer;
        }
        self.track_removed(&table);
        self.replace_peers(now, &table);
        self.update_own_entry(&table);
        self.table = Some(table);
        self.update_share_state(now);
        AdoptOutcome::Adopted
    }

    /// Tracks the members that a new table doesn't list: those of the table in force, and those that the new
    /// table names as former members. Unless they are dead, they may still be current and count as sharing
    /// the rates until their leases have certainly expired. A member is dead if another process has its
    /// address.
    fn track_removed(&mut self, table: &Table) {
        self.removed.retain(|removed| !table.lists(&removed.identity));
        let is_dead = |peer: &Peer| peer.dead || table.reuses_address_of(&peer.member);
        let live_peers = self.peers.values().filter(|peer| !is_dead(peer));
        let live_identities = live_peers.map(|peer| &peer.member.identity);
        let former = table.former.iter().flatten().filter(|identity| **identity != self.me);
        let absent: Vec<_> = live_identities
            .chain(former)
            .filter(|identity| !table.lists(identity))
            .cloned()
            .collect();
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

    /// Replaces the peers by the other members of a new table. If the table before listed this member, a peer
    /// whose entry has not changed keeps its state. [`Self::update_own_entry`] must be called afterwards: it
    /// overwrites whether the table before listed this member. A new peer that joined before this member is
    /// required to vouch for it; a new peer that joined later may need this member to vouch for it.
    fn replace_peers(&mut self, now: Instant, table: &Table) {
        let mut old_peers = std::mem::take(&mut self.peers);
        let own_position = table.position(&self.me);
        for (position, member) in table.members.iter().enumerate() {
            if member.identity.name == self.me.name {
                continue;
            }
            let joined_earlier = own_position.is_none_or(|own_position| position < own_position);
            let name = member.identity.name.clone();
            let known = old_peers.remove(&name).filter(|peer| peer.member == *member);
            let kept = known.filter(|_| self.listed);
            let peer = kept.unwrap_or_else(|| Peer::new(member.clone(), now, joined_earlier));
            self.peers.insert(name, peer);
        }
    }

    /// Records whether a new table lists this member. If it does and the table before did not, this member
    /// has joined, and has no share of the fleet's rates until it has been current since then.
    ///
    /// It knows which removed members may still be current if the table names them in `former`, or if it is
    /// the founder (the writer of the first table), since then there are none. Otherwise it is on probation:
    /// it also has no share until the leases of the members removed so far have expired. `probation` names
    /// this member itself; only its version, from which that time is counted, matters.
    fn update_own_entry(&mut self, table: &Table) {
        let listed = table.lists(&self.me);
        if listed && !self.listed {
            self.join_count += 1;
            let founder = self.founder && table.members.len() == 1;
            let knows_removed = founder || table.former.is_some();
            let probation = RemovedMember {
                identity: self.me.clone(),
                version: table.version,
                seen_by_all_at: None,
            };
            self.probation = (!knows_removed).then_some(probation);
            self.newly_joined = true;
        }
        self.founder = false;
        self.listed = listed;
    }

    /// Answers a peer's vouch request. Returns `true` if this member vouches for the peer: the table in force
    /// lists both, and this member isn't leaving. From then on, this member needs the peer's vouching too,
    /// since the peer may remove it. It counts a first lease of the peer, and so stays current until the peer
    /// has had time to vouch.
    pub fn vouch(
        &mut self,
        now: Instant,
        sender: &Identity,
        table_version: u64,
        configuration_version: u64,
    ) -> bool {
        let vouches = self.lists(sender) && self.listed && !self.leaving;
        let Some(peer) = self.peer_mut(sender) else {
            return false;
        };
        peer.record_message(now, table_version, configuration_version);
        if vouches && !peer.vouch_required {
            peer.vouch_required = true;
            peer.vouched_until = Some(now + VOUCH_LEASE);
        }
        self.update_share_state(now);
        vouches
    }

    /// Records a peer's answer to a vouch request of this member. It extends the peer's lease only if the
    /// peer vouches for this member with the same version of the table in force.
    pub fn record_answer(&mut self, now: Instant, peer: &Identity, answer: Answer) {
        let version = self.version();
        let Some(peer) = self.peer_mut(peer) else {
            return;
        };
        peer.record_message(now, answer.table_version, answer.configuration_version);
        if !answer.listed || answer.table_version != version {
            return;
        }
        peer.dependent = true;
        peer.answered_request_sent = peer.answered_request_sent.max(Some(answer.sent));
        peer.vouched_until = peer.vouched_until.max(Some(answer.sent + VOUCH_LEASE));
        self.update_share_state(now);
    }

    /// Records the proof that an incarnation of a member is dead.
    ///
    /// The proof counts at once if the dead member vouched so recently that it can't have removed this
    /// member since. Otherwise it counts once the table was read again after the proof.
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

    /// Records that a read of the object interface, sent at `requested_at`, returned this version of the
    /// table. If that is the version in force, it confirms the deaths that were proven before the read: no
    /// dead peer has removed this member by writing a newer version.
    pub fn record_table_read(&mut self, now: Instant, version: u64, requested_at: Instant) {
        if version != self.version() {
            return;
        }
        for peer in self.peers.values_mut() {
            peer.dead |= peer.unconfirmed_death_at.is_some_and(|proof| proof <= requested_at);
        }
        self.update_share_state(now);
    }

    /// Returns `true` if a proof of death needs a read of the table to count.
    fn needs_confirmation(&self) -> bool {
        self.peers.values().any(|peer| peer.unconfirmed_death_at.is_some() && !peer.dead)
    }

    /// Returns `true` if this member may act as a member now.
    pub fn is_current(&self, now: Instant) -> bool {
        self.current_until().is_some_and(|until| now < until)
    }

    /// Returns when this member stops being current if no further message arrives, or `None` if it isn't
    /// current.
    pub fn current_until(&self) -> Option<Instant> {
        if !self.listed || self.leaving {
            return None;
        }
        let required_peers = self.peers.values().filter(|peer| peer.vouch_required && !peer.dead);
        required_peers.map(|peer| peer.vouched_until).try_fold(
            Instant(u64::MAX),
            |earliest, vouched_until| {
                vouched_until.map(|vouched_until| vouched_until.min(earliest))
            },
        )
    }

    /// Returns the number of members between which the fleet's rates are divided, or `None` before this
    /// member has a share. Counts this member, the peers not known to be dead, and the removed members that
    /// may still be current.
    pub fn divisor(&mut self, now: Instant) -> Option<u32> {
        self.update_share_state(now);
        if self.probation.is_some() || self.newly_joined || !self.listed {
            return None;
        }
        let alive = self.peers.values().filter(|peer| !peer.dead).count();
        u32::try_from(1 + alive + self.removed.len()).ok()
    }

    /// Returns `true` if every live member is known to have at least this version of the configuration.
    pub fn all_configured(&self, version: u64) -> bool {
        self.peers.values().all(|peer| peer.dead || peer.configuration_version >= version)
    }

    /// Returns `true` if a live member is known to have a newer configuration.
    pub fn knows_newer_configuration(&self, version: u64) -> bool {
        self.peers.values().any(|peer| !peer.dead && peer.configuration_version > version)
    }

    /// Returns what this member must do with the table in the object interface.
    ///
    /// `address` is the address at which peers reach this member. `stored` is the result of the last read of the
    /// object interface: `Some(None)` if there was no table.
    pub fn next_action(
        &mut self,
        now: Instant,
        stored: Option<Option<&Table>>,
        address: SocketAddr,
    ) -> TableAction {
        match (self.leaving, self.listed) {
            (true, true) => self.leave_action(),
            (true, false) => TableAction::None,
            (false, false) => {
                stored.map_or(TableAction::None, |stored| self.join_action(stored, address))
            }
            (false, true) => match self.removal(now) {
                Some(table) => TableAction::Write(table),
                None if self.needs_confirmation() => TableAction::Read,
                None => TableAction::None,
            },
        }
    }

    /// Returns the write of the table without this member.
    fn leave_action(&self) -> TableAction {
        let Some(table) = &self.table else {
            return TableAction::None;
        };
        let members = table.members_without(&self.me.name);
        TableAction::Write(Table { version: table.version, members, former: self.former(&[]) })
    }

    /// Returns the write of the newest known table with this member added at the end.
    fn join_action(&mut self, stored: Option<&Table>, address: SocketAddr) -> TableAction {
        // An absent table may have existed before. This member is the founder only if it has never known a
        // table.
        self.founder = stored.is_none() && self.table.is_none();
        let newer_known = self
            .table
            .as_ref()
            .filter(|known| stored.is_some_and(|stored| stored.version < known.version));
        let former = self.founder.then(Vec::new);
        let empty = Table { version: 0, members: Vec::new(), former };
        let base = newer_known.or(stored).unwrap_or(&empty);
        TableAction::Write(base.with_member(Member { identity: self.me.clone(), address }))
    }

    /// Returns the members that may still be current although the table doesn't list them, extended by
    /// `additional`, or `None` if they aren't known.
    fn former(&self, additional: &[Identity]) -> Option<Vec<Identity>> {
        if self.probation.is_some() {
            return None;
        }
        let removed = self.removed.iter().map(|removed| &removed.identity);
        Some(removed.chain(additional).cloned().collect())
    }

    /// Returns the table without the members that this one may remove now, or `None` if there are none.
    ///
    /// Members remove an unreachable one after delays that grow with their positions in the table. A member
    /// that is likely to be isolated waits longer.
    fn removal(&self, now: Instant) -> Option<Table> {
        let table = self.table.as_ref()?;
        let own_position = table.position(&self.me)?;
        if self.leaving {
            return None;
        }
        let rank = u32::try_from(own_position).unwrap_or(u32::MAX);
        let mut timeout = SUSPECT_AFTER + REMOVAL_STAGGER * rank.min(RANK_MAX);
        if self.is_isolated(now) {
            timeout += SUSPECT_AFTER;
        }
        let is_removable = |member: &Member| {
            let peer = self.peers.get(&member.identity.name);
            peer.is_some_and(|peer| peer.is_removable(now, timeout))
        };
        let (removed, members): (Vec<_>, Vec<_>) =
            table.members.iter().cloned().partition(is_removable);
        if removed.is_empty() {
            return None;
        }
        let is_dead =
            |identity: &Identity| self.peers.get(&identity.name).is_some_and(|peer| peer.dead);
        let maybe_current: Vec<_> = removed
            .into_iter()
            .map(|member| member.identity)
            .filter(|identity| !is_dead(identity))
            .collect();
        Some(Table { version: table.version, members, former: self.former(&maybe_current) })
    }

    /// Returns `true` if more than half of the members are unreachable, so that this member is likely to be
    /// the isolated one.
    fn is_isolated(&self, now: Instant) -> bool {
        let is_unreachable =
            |peer: &&Peer| !peer.dead && now.since(peer.last_heartbeat) >= SUSPECT_AFTER;
        self.peers.values().filter(is_unreachable).count() * 2 > self.peers.len() + 1
    }

    /// Records that this member was paused. Peers don't count as unreachable for that time.
    pub fn record_resume(&mut self, now: Instant) {
        for peer in self.peers.values_mut() {
            peer.last_heartbeat = now;
        }
    }

    /// Returns the peer of this name, if it has this incarnation.
    fn peer_mut(&mut self, identity: &Identity) -> Option<&mut Peer> {
        let peer = self.peers.get_mut(&identity.name)?;
        (peer.member.identity == *identity).then_some(peer)
    }

    /// Stops counting removed members whose leases have certainly expired, and ends the two conditions that
    /// keep this member without a share (`probation` and `newly_joined`) when they don't hold any more.
    fn update_share_state(&mut self, now: Instant) {
        let peers = &self.peers;
        let is_seen_by_all =
            |version| peers.values().all(|peer| peer.dead || peer.table_version >= version);
        let has_expired = |removed: &mut RemovedMember| {
            if removed.seen_by_all_at.is_none() && is_seen_by_all(removed.version) {
                removed.seen_by_all_at = Some(now);
            }
            removed.seen_by_all_at.is_some_and(|seen_at| now >= seen_at + VOUCH_LEASE)
        };
        self.removed.retain_mut(|removed| !has_expired(removed));
        if self.probation.as_mut().is_some_and(has_expired) {
            self.probation = None;
        }
        // A removed member that never knew of this one has not reduced its share, so this member waits until
        // no removed member may be current.
        self.newly_joined &= !(self.removed.is_empty() && self.is_current(now));
    }
}

impl Peer {
    /// Creates the state of a newly listed peer. A peer that joined earlier than this member must vouch for
    /// it; a peer that joined later may need this member to vouch for it.
    fn new(member: Member, now: Instant, joined_earlier: bool) -> Peer {
        Peer {
            member,
            vouched_until: None,
            answered_request_sent: None,
            vouch_required: joined_earlier,
            dependent: !joined_earlier,
            dead: false,
            unconfirmed_death_at: None,
            last_heartbeat: now,
            table_version: 0,
            configuration_version: 0,
        }
    }

    /// Records a message of the peer, with the versions of its table and configuration.
    fn record_message(&mut self, now: Instant, table_version: u64, configuration_version: u64) {
        self.last_heartbeat = now;
        self.table_version = self.table_version.max(table_version);
        self.configuration_version = self.configuration_version.max(configuration_version);
    }

    /// Returns `true` if this member may remove the peer: it was proven dead, or it may depend on this
    /// member's vouching and has sent no message for `timeout`.
    fn is_removable(&self, now: Instant, timeout: Duration) -> bool {
        let timed_out = self.dependent && now.since(self.last_heartbeat) >= timeout;
        self.dead || self.unconfirmed_death_at.is_some() || timed_out
    }
}
