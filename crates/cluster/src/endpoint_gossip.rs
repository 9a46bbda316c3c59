//! Endpoint gossip: what balancers announce of upstreams, that one drains or that one has started.
//!
//! An announcement only ever makes a balancer more careful, and it is valid only as long as a balancer whose own
//! discovery says so repeats it: a balancer that has a drain from its discovery announces it every [`REANNOUNCE_INTERVAL`], unless
//! another one has just done so, and an announcement expires after [`ANNOUNCEMENT_TTL`]. Announcements are identified by
//! origin and sequence number, so that one that circulates ages all the same; of two copies the older one
//! counts. Merging is commutative, associative and idempotent: order, loss and repetition change nothing in the end.

use bytes::{Buf, BufMut};
use std::collections::BTreeMap;
use std::time::Duration;

/// How long an announcement is valid.
pub const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(15);
/// How often a drain that still holds is announced again.
pub const REANNOUNCE_INTERVAL: Duration = Duration::from_secs(5);
/// The most upstreams that announcements are kept of.
pub const MAX_UPSTREAMS: usize = 4096;
/// The most announcements that are kept of one upstream: more origins add nothing.
const MAX_ANNOUNCEMENTS_PER_UPSTREAM: usize = 4;
/// The length of an encoded announcement, in bytes.
pub const ANNOUNCEMENT_BYTES: usize = 8 * 4 + 1 + 4;

/// What a balancer knows of an upstream from its own discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointClaim {
    /// The upstream's id, the same at every balancer.
    pub upstream: u64,
    /// When the upstream started, in Unix milliseconds; 0 if unknown.
    pub boot_ms: u64,
    /// Whether the upstream drains.
    pub is_draining: bool,
}

/// A claim that is passed on from balancer to balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// What is claimed.
    pub claim: EndpointClaim,
    /// The balancer whose discovery says so, as the hash of its name.
    pub origin: u64,
    /// A number that rises with each announcement of the origin.
    pub sequence: u64,
    /// The age of the announcement, in milliseconds.
    pub age_ms: u32,
}

impl Announcement {
    /// Returns the wire form.
    pub fn encode(&self) -> Vec<u8> {
        let mut buf = Vec::with_capacity(ANNOUNCEMENT_BYTES);
        buf.put_u64(self.claim.upstream);
        buf.put_u64(self.origin);
        buf.put_u64(self.sequence);
        buf.put_u64(self.claim.boot_ms);
        buf.put_u8(u8::from(self.claim.is_draining));
        buf.put_u32(self.age_ms);
        buf
    }

    /// Reads the wire form, or returns `None` if it is too short; what later versions may have added is skipped.
    pub fn decode(mut buf: &[u8]) -> Option<Self> {
        let upstream = buf.try_get_u64().ok()?;
        let origin = buf.try_get_u64().ok()?;
        let sequence = buf.try_get_u64().ok()?;
        let boot_ms = buf.try_get_u64().ok()?;
        let is_draining = buf.try_get_u8().ok()? & 1 == 1;
        let age_ms = buf.try_get_u32().ok()?;
        Some(Self { claim: EndpointClaim { upstream, boot_ms, is_draining }, origin, sequence, age_ms })
    }
}

/// An announcement as it is kept, with the time of its origin in place of its age.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct StoredAnnouncement {
    origin: u64,
    sequence: u64,
    boot_ms: u64,
    is_draining: bool,
    /// When it was announced, in milliseconds of the local clock; negative if that was before the clock's origin.
    announced_at_ms: i64,
}

impl StoredAnnouncement {
    /// The precedence of the announcement: a drain before none, a younger one before an older one.
    fn weight(&self) -> (bool, i64) {
        (self.is_draining, self.announced_at_ms)
    }

    fn expires_at(&self) -> Duration {
        Duration::from_millis((self.announced_at_ms + as_ms(ANNOUNCEMENT_TTL)).max(0) as u64)
    }
}

/// What the valid announcements come to, for one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GossipedEndpoint {
    /// The upstream's id.
    pub upstream: u64,
    /// Until when the upstream is announced to drain, and which start of it (Unix milliseconds, 0 for any).
    pub drained_until: Option<(Duration, u64)>,
    /// The latest start of the upstream, in Unix milliseconds.
    pub boot_ms: u64,
}

/// The valid announcements.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnnouncementStore {
    by_upstream: BTreeMap<u64, Vec<StoredAnnouncement>>,
    last_sequence: u64,
    rejected: u64,
    /// Counts changes.
    version: u64,
}

fn as_ms(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}

impl AnnouncementStore {
    /// Merges an announcement, and returns whether it is news that is worth passing on.
    pub fn merge(&mut self, now: Duration, announcement: Announcement) -> bool {
        let announced_at_ms = as_ms(now) - i64::from(announcement.age_ms);
        if as_ms(now) - announced_at_ms >= as_ms(ANNOUNCEMENT_TTL) {
            return false;
        }
        let Announcement {
            claim: EndpointClaim { upstream, boot_ms, is_draining }, origin, sequence, ..
        } = announcement;
        if !self.by_upstream.contains_key(&upstream) && self.by_upstream.len() >= MAX_UPSTREAMS {
            self.rejected += 1;
            return false;
        }
        let new = StoredAnnouncement { origin, sequence, boot_ms, is_draining, announced_at_ms };
        let is_news = merge_into(self.by_upstream.entry(upstream).or_default(), new);
        self.version += u64::from(is_news);
        is_news
    }

    /// Forgets the announcements that are no longer valid.
    pub fn expire(&mut self, now: Duration) {
        let valid_after_ms = as_ms(now) - as_ms(ANNOUNCEMENT_TTL);
        let before = self.len();
        self.by_upstream.retain(|_, stored| {
            stored.retain(|announcement| announcement.announced_at_ms > valid_after_ms);
            !stored.is_empty()
        });
        self.version += u64::from(before != self.len());
    }

    fn len(&self) -> usize {
        self.by_upstream.values().map(Vec::len).sum()
    }

    /// Returns the claims that have to be announced now: those that nobody has announced, or not lately.
    pub fn due_claims(&self, now: Duration, origin: u64, claims: &[EndpointClaim]) -> Vec<EndpointClaim> {
        // Each origin has an interval of its own: the first one to announce spares the others theirs.
        let interval_ms = as_ms(REANNOUNCE_INTERVAL) * (80 + (origin % 40) as i64) / 100;
        let covers = |claim: &EndpointClaim, stored: &StoredAnnouncement| {
            let is_recent = as_ms(now) - stored.announced_at_ms < interval_ms;
            stored.boot_ms >= claim.boot_ms && (!claim.is_draining || stored.is_draining && is_recent)
        };
        let is_due = |claim: &&EndpointClaim| {
            let stored = self.by_upstream.get(&claim.upstream);
            !stored.is_some_and(|all| all.iter().any(|stored| covers(claim, stored)))
        };
        claims.iter().filter(is_due).copied().collect()
    }

    /// Returns a new announcement of a local claim. Its sequence number is the Unix time, and rises even if that does not.
    pub fn announce(&mut self, origin: u64, unix_ms: u64, claim: EndpointClaim) -> Announcement {
        self.last_sequence = unix_ms.max(self.last_sequence + 1);
        Announcement { claim, origin, sequence: self.last_sequence, age_ms: 0 }
    }

    /// Returns all valid announcements.
    pub fn announcements(&self, now: Duration) -> Vec<Announcement> {
        let announcement = |upstream: u64, stored: &StoredAnnouncement| Announcement {
            claim: EndpointClaim { upstream, boot_ms: stored.boot_ms, is_draining: stored.is_draining },
            origin: stored.origin,
            sequence: stored.sequence,
            age_ms: u32::try_from((as_ms(now) - stored.announced_at_ms).max(0)).unwrap_or(u32::MAX),
        };
        let of_upstream = |(upstream, all): (&u64, &Vec<StoredAnnouncement>)| {
            all.iter().map(|stored| announcement(*upstream, stored)).collect::<Vec<_>>()
        };
        self.by_upstream.iter().flat_map(of_upstream).collect()
    }

    /// Returns what the valid announcements come to, by upstream.
    pub fn endpoints(&self) -> Vec<GossipedEndpoint> {
        let endpoint = |(upstream, all): (&u64, &Vec<StoredAnnouncement>)| {
            let drains = all.iter().filter(|stored| stored.is_draining);
            GossipedEndpoint {
                upstream: *upstream,
                drained_until: drains.map(|stored| (stored.expires_at(), stored.boot_ms)).max(),
                boot_ms: all.iter().map(|stored| stored.boot_ms).max().unwrap_or(0),
            }
        };
        self.by_upstream.iter().map(endpoint).collect()
    }

    /// Returns a number that changes whenever the valid announcements do.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns how many announcements were rejected for want of room.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }
}

/// Merges an announcement into those of its upstream, and returns whether it is news.
fn merge_into(stored: &mut Vec<StoredAnnouncement>, new: StoredAnnouncement) -> bool {
    if let Some(known) = stored.iter_mut().find(|known| known.origin == new.origin) {
        return merge_same_origin(known, new);
    }
    if stored.len() < MAX_ANNOUNCEMENTS_PER_UPSTREAM {
        stored.push(new);
        return true;
    }
    let least = stored.iter_mut().min_by_key(|known| (known.weight(), known.origin));
    let Some(least) = least.filter(|least| least.weight() < new.weight()) else { return false };
    *least = new;
    true
}

/// Of one origin the higher sequence number counts, and of two copies of one announcement the older one.
fn merge_same_origin(known: &mut StoredAnnouncement, new: StoredAnnouncement) -> bool {
    if known.sequence == new.sequence {
        known.announced_at_ms = known.announced_at_ms.min(new.announced_at_ms);
    }
    let is_newer = new.sequence > known.sequence;
    if is_newer {
        *known = new;
    }
    is_newer
}

#[cfg(test)]
mod tests;
